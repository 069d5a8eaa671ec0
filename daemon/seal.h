/** @file
 *  Sealed messages between daemons: encrypted, authenticated, not replayed.
 *
 *      seal *s = seal_create("vm-1", run, secret);
 *      seal_encrypt(s, "vm-2", &plain, &sealed);
 *      rc = seal_decrypt(s, data, len, from, &plain);
 *
 *  A sealed message names its sender, receiver, the sender's run and a number
 *  that rises in the run.  One that doesn't open, is for another daemon, of an
 *  earlier run or not newer than the last is refused: so a message that is
 *  played again changes nothing while its receiver runs.
 *
 *  Source: XSalsa20 and Poly1305 by libsodium.
 */
#ifndef SEAL_H
#define SEAL_H

#include "bbm_hash.h"
#include "bbm_pack.h"

/** A daemon's side of all its links; opaque. */
typedef struct seal seal;

/** The side of one daemon; the secret has BBM_DIGEST_SIZE bytes. */
seal *seal_create(const char *name, uint64_t run, const uint8_t *secret);
/** Release; NULL is allowed. */
void seal_destroy(seal *s);
/** Append a sealed message to @p sealed.  From one thread only. */
void seal_encrypt(seal *s, const char *to, const bbm_buf *plain,
                bbm_buf *sealed);
/** Open a message; BBM_ERR_DECODE if it is refused.  From one thread only,
 *  which may be another than the closing one. */
int seal_decrypt(seal *s, const uint8_t *data, size_t len,
              char from[BBM_NAME_SIZE], bbm_buf *plain);

#endif
