/** @file
 *  Framing of messages on a connection between daemons.  It only parses and
 *  formats; the transport has the sockets.
 *
 *  The format is that of the SP protocols' mapping to TCP, pipeline pattern,
 *  as nng and nanomsg speak it: each end first sends a greeting of
 *  FRAMES_GREETING_BYTES, then the sender a head of FRAMES_HEAD_BYTES, the
 *  length of the message in network order, before each message.
 *
 *      frame_reader r = {0};
 *      while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
 *          if (frame_reader_read(&r, bytes, n, on_message, context) < 0) ...
 *      frame_reader_free(&r);
 */
#ifndef FRAMES_H
#define FRAMES_H

#include "bbm_pack.h"

#define FRAMES_GREETING_BYTES 8
#define FRAMES_HEAD_BYTES 8
/** Longest message that is accepted. */
#define FRAMES_MESSAGE_BYTES_MAX ((uint64_t)64 * 1024 * 1024)

/** What the sending end of a connection sends first. */
extern const uint8_t frames_sender_greeting[FRAMES_GREETING_BYTES];
/** What the receiving end sends first. */
extern const uint8_t frames_receiver_greeting[FRAMES_GREETING_BYTES];

/** Format the head of a message of @p len bytes. */
void frames_put_head(uint8_t head[FRAMES_HEAD_BYTES], size_t len);

/** Called for each message; @p data is valid until it returns. */
typedef void frame_fn(void *context, const uint8_t *data, size_t len);

/** The bytes of a connection on its receiving end; all zero at its begin. */
typedef struct frame_reader {
    uint8_t head[FRAMES_HEAD_BYTES]; /**< Of the greeting, then of messages. */
    size_t head_len;                 /**< Bytes of it that have come. */
    bool greeted;                    /**< The greeting has come. */
    uint64_t message_len;            /**< Valid once the head has come. */
    bbm_buf message;                 /**< Its bytes that have come. */
    bool dropping;                   /**< The message is dropped. */
    uint64_t dropped;                /**< Bytes of it that have come. */
} frame_reader;

/** Read bytes as they come.  Memory grows with what has come, not with the
 *  length that a head names.  Returns BBM_ERR_DECODE if the sender speaks
 *  another protocol or a message is too long; the connection is to be closed
 *  then. */
int frame_reader_read(frame_reader *r, const uint8_t *data, size_t len,
                      frame_fn *fn, void *context);
/** Drop the message of which a part has come: its bytes are released, and the
 *  rest is read and dropped. */
void frame_reader_drop(frame_reader *r);
/** Release what is held. */
void frame_reader_free(frame_reader *r);

#endif
