#include "answer_cases.h"

#include "bbm_table.h"

#include <stdio.h>
#include <string.h>

#define OK "HTTP/1.1 200 OK"
#define LINES(text) .lines = (text), .lines_len = sizeof(text) - 1
#define LENGTH "Content-Length: 12\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

const answer_case malformed_answers[] = {
    /* The length. */
    {"byte behind the length", OK, LINES("Content-Length: 5x\r\n")},
    {"byte before the length", OK, LINES("Content-Length: x12\r\n")},
    {"blank in the length", OK, LINES("Content-Length: 1 2\r\n")},
    {"control byte in the length", OK, LINES("Content-Length: 1\0012\r\n")},
    {"control byte before the length", OK,
     LINES("Content-Length: \00112\r\n")},
    {"parameter of the length", OK, LINES("Content-Length: 5;12\r\n")},
    {"fraction", OK, LINES("Content-Length: 5.0\r\n")},
    {"hexadecimal length", OK, LINES("Content-Length: 0x0c\r\n")},
    {"negative length", OK, LINES("Content-Length: -12\r\n")},
    {"signed length", OK, LINES("Content-Length: +5\r\n")},
    {"quoted length", OK, LINES("Content-Length: \"12\"\r\n")},
    {"no length", OK, LINES("Content-Length:\r\n")},
    {"length beyond 64 bits", OK,
     LINES("Content-Length: 99999999999999999999\r\n")},
    {"two lengths, first right", OK, LINES(LENGTH "Content-Length: 5\r\n")},
    {"two lengths, last right", OK, LINES("Content-Length: 5\r\n" LENGTH)},
    {"list of lengths", OK, LINES("Content-Length: 5, 12\r\n")},
    {"length without colon", OK, LINES("Content-Length 12\r\n")},
    {"length without name", OK, LINES(": 12\r\n")},
    {"length alone", OK, LINES("12\r\n")},
    {"length before a NUL", OK, LINES("Content-Length: 5\0002\r\n")},
    {"length before a CR", OK, LINES("Content-Length: 5\r2\r\n")},
    {"folded length", OK, LINES("Content-Length: 5\r\n 2\r\n")},
    {"length behind a fold", OK, LINES("Content-Length:\r\n 12\r\n")},
    /* The transfer encoding. */
    {"unknown encoding", OK, LINES("Transfer-Encoding: chunke\r\n"),
     .is_chunked = true},
    {"byte behind the encoding", OK, LINES("Transfer-Encoding: chunkedx\r\n"),
     .is_chunked = true},
    {"byte before the encoding", OK,
     LINES("Transfer-Encoding: \001chunked\r\n"), .is_chunked = true},
    {"no encoding", OK, LINES("Transfer-Encoding:\r\n"), .is_chunked = true},
    {"two encodings", OK, LINES(CHUNKED CHUNKED), .is_chunked = true},
    {"list of encodings", OK, LINES("Transfer-Encoding: gzip, chunked\r\n"),
     .is_chunked = true},
    {"identity", OK, LINES("Transfer-Encoding: identity\r\n")},
    {"identity and chunks", OK,
     LINES("Transfer-Encoding: identity, chunked\r\n"), .is_chunked = true},
    {"encoding without colon", OK, LINES("Transfer-Encoding chunked\r\n"),
     .is_chunked = true},
    {"encoding before a length", OK, LINES(CHUNKED LENGTH),
     .is_chunked = true},
    {"encoding behind a length", OK, LINES("Content-Length: 5\r\n" CHUNKED),
     .is_chunked = true},
    {"chunks in HTTP/1.0", "HTTP/1.0 200 OK", LINES(CHUNKED),
     .is_chunked = true},
    /* Lines that are no field, and names that are no token. */
    {"line without colon", OK, LINES("X-A b\r\n" LENGTH)},
    {"line of one byte", OK, LINES("x\r\n" LENGTH)},
    {"line of blanks", OK, LINES(" \t\r\n" LENGTH)},
    {"no name", OK, LINES(": b\r\n" LENGTH)},
    {"folded line", OK, LINES("X-A: b\r\n c\r\n" LENGTH)},
    {"fold behind the status line", OK, LINES(" X-A: b\r\n" LENGTH)},
    {"fold of a tab", OK, LINES("X-A: b\r\n\tc: d\r\n" LENGTH)},
    {"blank in a name", OK, LINES("X A: b\r\n" LENGTH)},
    {"blank behind a name", OK, LINES("X-A : b\r\n" LENGTH)},
    {"tab in a name", OK, LINES("X\tA: b\r\n" LENGTH)},
    {"tab behind a name", OK, LINES("X-A\t: b\r\n" LENGTH)},
    {"control byte in a name", OK, LINES("X-\001A: b\r\n" LENGTH)},
    {"control byte behind a name", OK, LINES("X-A\037: b\r\n" LENGTH)},
    {"escape before a name", OK, LINES("\033X-A: b\r\n" LENGTH)},
    {"delete in a name", OK, LINES("X-\177A: b\r\n" LENGTH)},
    {"NUL in a name", OK, LINES("X-\000A: b\r\n" LENGTH)},
    {"NUL before a name", OK, LINES("\000X-A: b\r\n" LENGTH)},
    {"CR in a name", OK, LINES("X-\rA: b\r\n" LENGTH)},
    {"CR before a name", OK, LINES("\rX-A: b\r\n" LENGTH)},
    {"separator in a name", OK, LINES("X(A): b\r\n" LENGTH)},
    {"byte above 127 in a name", OK, LINES("X-\351A: b\r\n" LENGTH)},
    {"blank in the length's name", OK, LINES("Content Length: 5\r\n")},
    {"blank behind the length's name", OK, LINES("Content-Length : 5\r\n")},
    {"tab behind the length's name", OK, LINES("Content-Length\t: 12\r\n")},
    {"control byte in the length's name", OK,
     LINES("Content-\002Length: 5\r\n")},
    {"control byte behind the length's name", OK,
     LINES("Content-Length\002: 12\r\n")},
    {"blank before the length's name", OK, LINES(" Content-Length: 5\r\n")},
    {"blank behind the encoding's name", OK,
     LINES("Transfer-Encoding : chunked\r\n"), .is_chunked = true},
    {"control byte in the encoding's name", OK,
     LINES("Transfer\003-Encoding: chunked\r\n"), .is_chunked = true},
    {"status line among the fields", OK,
     LINES("HTTP/1.1 404 Not Found\r\n" LENGTH)},
    /* Values. */
    {"control byte in a value", OK, LINES("X-A: b\001c\r\n" LENGTH)},
    {"delete in a value", OK, LINES("X-A: b\177\r\n" LENGTH)},
    {"NUL in a value", OK, LINES("X-A: b\000c\r\n" LENGTH)},
    {"CR in a value", OK, LINES("X-A: b\rc\r\n" LENGTH)},
    {"two CR at the end of a line", OK, LINES("X-A: b\r\r\n" LENGTH)},
    {"line without CR among others", OK, LINES("X-A: b\n" LENGTH)},
    /* The status line. */
    {"status 000", "HTTP/1.1 000 OK", LINES(LENGTH)},
    {"status 000 without length", "HTTP/1.1 000 OK", LINES("")},
    {"status 099", "HTTP/1.1 099 OK", LINES(LENGTH)},
    {"status 600", "HTTP/1.1 600 OK", LINES(LENGTH)},
    {"status 999", "HTTP/1.1 999 OK", LINES(LENGTH)},
    {"status 101", "HTTP/1.1 101 Switching Protocols", LINES(LENGTH)},
    {"status of two digits", "HTTP/1.1 20 OK", LINES(LENGTH)},
    {"status of four digits", "HTTP/1.1 2000 OK", LINES(LENGTH)},
    {"status 00", "HTTP/1.1 00 OK", LINES(LENGTH)},
    {"status 1000", "HTTP/1.1 1000 OK", LINES(LENGTH)},
    {"signed status", "HTTP/1.1 +200 OK", LINES(LENGTH)},
    {"blank in the status", "HTTP/1.1 2 00 OK", LINES(LENGTH)},
    {"reason without status", "HTTP/1.1 OK", LINES(LENGTH)},
    {"version alone", "HTTP/1.1", LINES(LENGTH)},
    {"status 000 before another head",
     "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK", LINES(LENGTH)},
    {"letter in the status", "HTTP/1.1 2O0 OK", LINES(LENGTH)},
    {"status without blank", "HTTP/1.1200 OK", LINES(LENGTH)},
    {"status and reason in one", "HTTP/1.1 200OK", LINES(LENGTH)},
    {"two blanks before the status", "HTTP/1.1  200 OK", LINES(LENGTH)},
    {"tab before the status", "HTTP/1.1\t200 OK", LINES(LENGTH)},
    {"tab behind the status", "HTTP/1.1 200\tOK", LINES(LENGTH)},
    {"control byte in the reason", "HTTP/1.1 200 O\001K", LINES(LENGTH)},
    {"CR in the reason", "HTTP/1.1 200 O\rK", LINES(LENGTH)},
    {"version 2", "HTTP/2 200 OK", LINES(LENGTH)},
    {"version 1.2", "HTTP/1.2 200 OK", LINES(LENGTH)},
    {"version in lower case", "http/1.1 200 OK", LINES(LENGTH)},
    {"blank before the version", " HTTP/1.1 200 OK", LINES(LENGTH)},
    {"no status line", "X-A: b", LINES(LENGTH)},
    /* Heads before the final one. */
    {"length of an interim answer",
     "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n" OK, LINES("")},
    {"encoding of an interim answer",
     "HTTP/1.1 100 Continue\r\n" CHUNKED "\r\n" OK, LINES(LENGTH)},
    {"no field in an interim answer",
     "HTTP/1.1 103 Early Hints\r\nX-A b\r\n\r\n" OK, LINES(LENGTH)},
    {"content of a 204", "HTTP/1.1 204 No Content", LINES(LENGTH)},
    {"chunks of a 204", "HTTP/1.1 204 No Content", LINES(CHUNKED),
     .is_chunked = true},
};
const size_t malformed_answers_len = BBM_COUNT(malformed_answers);

const answer_case sound_answers[] = {
    {"length", OK, LINES(LENGTH)},
    {"length in lower case", OK, LINES("content-length:12\r\n")},
    {"blanks around the length", OK, LINES("Content-Length: \t12 \t\r\n")},
    {"the same length twice", OK, LINES(LENGTH LENGTH)},
    {"length with zeros", OK, LINES("Content-Length: 00012\r\n")},
    {"chunks", OK, LINES(CHUNKED), .is_chunked = true},
    {"encoding in capitals", OK, LINES("TRANSFER-ENCODING:Chunked \r\n"),
     .is_chunked = true},
    {"until the connection ends", OK, LINES("")},
    {"HTTP/1.0", "HTTP/1.0 200 OK", LINES(LENGTH)},
    {"HTTP/1.0 until the end", "HTTP/1.0 200 OK", LINES("")},
    {"no reason", "HTTP/1.1 200 ", LINES(LENGTH)},
    {"no reason and no blank", "HTTP/1.1 200", LINES(LENGTH)},
    {"reason beyond ASCII", "HTTP/1.1 200 D\351j\340\tvu", LINES(LENGTH)},
    {"interim answers",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
     "Link: </a>\r\n\r\n" OK,
     LINES(LENGTH)},
    {"empty value", OK, LINES("X-A:\r\n" LENGTH)},
    {"tab and bytes above 127 in a value", OK,
     LINES("X-A: b\tc\351\200\r\n" LENGTH)},
    {"every byte of a token", OK,
     LINES("!#$%&'*+-.^_`|~09azAZ: b\r\n" LENGTH)},
    {"line feeds alone", OK, LINES("X-A: b\nContent-Length: 12\n"),
     .has_lf = true},
};
const size_t sound_answers_len = BBM_COUNT(sound_answers);

#define CHUNKS(text) (text), sizeof(text) - 1
#define BODY CHUNKS_CASE_BODY
#define END "0\r\n\r\n"

const chunks_case malformed_chunks[] = {
    {"byte behind the size", CHUNKS("ex\r\n" BODY "\r\n" END)},
    {"number behind the size", CHUNKS("e 1\r\n" BODY "\r\n" END)},
    {"control byte behind the size", CHUNKS("e\001\r\n" BODY "\r\n" END)},
    {"NUL behind the size", CHUNKS("e\000\r\n" BODY "\r\n" END)},
    {"control byte in an extension",
     CHUNKS("e;a=\"\001\"\r\n" BODY "\r\n" END)},
    {"blank before the size", CHUNKS(" e\r\n" BODY "\r\n" END)},
    {"sign of the size", CHUNKS("+e\r\n" BODY "\r\n" END)},
    {"hexadecimal mark", CHUNKS("0x0e\r\n" BODY "\r\n" END)},
    {"byte behind a zero", CHUNKS("0\0010e\r\n" BODY "\r\n" END)},
    {"CR in the size", CHUNKS("0\re\r\n" BODY "\r\n" END)},
    {"size without a digit", CHUNKS(";e\r\n" BODY "\r\n" END)},
    {"no size", CHUNKS("\r\n" BODY "\r\n" END)},
    {"size beyond 63 bits", CHUNKS("ffffffffffffffff\r\n" BODY "\r\n" END)},
    {"size beyond 64 bits", CHUNKS("1000000000000000e\r\n" BODY "\r\n" END)},
    {"size is too small", CHUNKS("a\r\n" BODY "\r\n" END)},
    {"size is too large", CHUNKS("f\r\n" BODY "\r\n" END)},
    {"line feed alone behind the size", CHUNKS("e\n" BODY "\r\n" END)},
    {"line feed alone behind a chunk", CHUNKS("e\r\n" BODY "\n" END)},
    {"CR alone behind a chunk", CHUNKS("e\r\n" BODY "\r" END)},
    {"no line end behind a chunk", CHUNKS("e\r\n" BODY END)},
    {"byte behind the last size", CHUNKS("e\r\n" BODY "\r\n0x\r\n\r\n")},
    {"zero in the midst",
     CHUNKS("4\r\nbody\r\n0q8\r\n: of\n\nid\r\n2\r\n-1\r\n" END)},
    {"trailer without colon", CHUNKS("e\r\n" BODY "\r\n0\r\nX\r\n\r\n")},
    {"blank behind a trailer's name",
     CHUNKS("e\r\n" BODY "\r\n0\r\nX : y\r\n\r\n")},
    {"control byte in a trailer",
     CHUNKS("e\r\n" BODY "\r\n0\r\nX: \001\r\n\r\n")},
    {"folded trailer", CHUNKS("e\r\n" BODY "\r\n0\r\nX: y\r\n z\r\n\r\n")},
    {"no last chunk", CHUNKS("e\r\n" BODY "\r\n")},
    {"no end of the trailers", CHUNKS("e\r\n" BODY "\r\n0\r\n")},
};
const size_t malformed_chunks_len = BBM_COUNT(malformed_chunks);

const chunks_case sound_chunks[] = {
    {"one chunk", CHUNKS("e\r\n" BODY "\r\n" END)},
    {"several", CHUNKS("4\r\nbody\r\n08\r\n: of\n\nid\r\n002\r\n-1\r\n" END)},
    {"capitals and zeros", CHUNKS("000E\r\n" BODY "\r\n000\r\n\r\n")},
    {"extensions", CHUNKS("e;a=\"b c\";d\r\n" BODY "\r\n0;e\r\n\r\n")},
    {"blanks behind the size", CHUNKS("e \t\r\n" BODY "\r\n" END)},
    {"blank before an extension", CHUNKS("e ;a\r\n" BODY "\r\n" END)},
    {"trailers", CHUNKS("e\r\n" BODY "\r\n0\r\nX: y\r\nZ:\r\n\r\n")},
};
const size_t sound_chunks_len = BBM_COUNT(sound_chunks);

/* Appends lines, of which a line feed alone is to end each if @p lf. */
static void
add_lines(bbm_buf *out, const char *text, size_t len, bool lf)
{
    for (size_t i = 0; i < len; i++) {
        if (!lf || text[i] != '\r')
            bbm_buf_add(out, text + i, 1);
    }
}

void
answer_case_write(const answer_case *c, const char *lines, const char *body,
                  bbm_buf *out)
{
    char chunks[64];
    add_lines(out, c->status, strlen(c->status), c->has_lf);
    add_lines(out, "\r\n", 2, c->has_lf);
    add_lines(out, c->lines, c->lines_len, c->has_lf);
    add_lines(out, lines, strlen(lines), c->has_lf);
    add_lines(out, "\r\n", 2, c->has_lf);
    if (!c->is_chunked) {
        bbm_buf_add(out, body, ANSWER_CASE_BODY_LEN);
        return;
    }
    snprintf(chunks, sizeof(chunks), "%x\r\n%.*s\r\n0\r\n\r\n",
             ANSWER_CASE_BODY_LEN, ANSWER_CASE_BODY_LEN, body);
    bbm_buf_add(out, chunks, strlen(chunks));
}
