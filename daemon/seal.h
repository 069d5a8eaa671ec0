/** @file
 *  Authenticated encryption of messages between daemons, with protection
 *  against replay.
 *
 *      seal *s = seal_create("vm-1", run, secret);
 *      seal_encrypt(s, "vm-2", &plain, &sealed);
 *      rc = seal_decrypt(s, data, len, from, &plain);
 *
 *  A sealed message holds the names of its sender and receiver, the number of
 *  the sender's run and a sequence number that rises within the run.  A
 *  message is rejected if it can't be authenticated, is addressed to another
 *  daemon, comes from an earlier run, or is not newer than the last one of
 *  its sender.  A replayed message thus has no effect while its receiver
 *  runs.
 *
 *  Source: XSalsa20 and Poly1305 by libsodium.
 */
#ifndef SEAL_H
#define SEAL_H

#include "bbm_hash.h"
#include "bbm_pack.h"

/** One daemon's state for its messages to and from all others; opaque. */
typedef struct seal seal;

/** Create the state of the daemon @p name.  @p run is the number of its run,
 *  which rises with each; @p secret has BBM_DIGEST_SIZE bytes. */
seal *seal_create(const char *name, uint64_t run, const uint8_t *secret);
/** Release; NULL is allowed. */
void seal_destroy(seal *s);
/** Encrypt a message and append it to @p sealed.  @p to is the receiver's
 *  name, or "" if it is not known: any daemon with the secret then accepts the
 *  message.  From one thread only. */
void seal_encrypt(seal *s, const char *to, const bbm_buf *plain,
                  bbm_buf *sealed);
/** Decrypt a message and append its payload to @p plain; @p from receives the
 *  sender's name.  BBM_ERR_DECODE if it is rejected.  From one thread only,
 *  which may be another than that of seal_encrypt(). */
int seal_decrypt(seal *s, const uint8_t *data, size_t len,
                 char from[BBM_NAME_SIZE], bbm_buf *plain);

#endif
