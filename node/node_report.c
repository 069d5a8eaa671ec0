/** @file
 *  Reads and writes load rows and news in each format (see node_report.h).
 */
#include "node_report.h"

/* ---- reading ---- */

void
node_report_free(node_report *r)
{
    bbm_buf_free(&r->converted_rows);
    bbm_buf_free(&r->converted_groups);
}

/* Converts groups of news; false if they aren't in the format. */
static bool
convert_groups(bbm_reader *rd, size_t len, bbm_format from, bbm_format to,
               bbm_buf *buf)
{
    bool valid = true;
    for (size_t i = 0; i < len && valid; i++) {
        char vm[BBM_NAME_SIZE];
        bbm_buf converted = {0};
        bbm_get_name(rd, vm);
        bbm_bytes news = bbm_get_bytes(rd);
        valid =
            !rd->failed && bbm_gate_convert_news(news, from, to, &converted);
        bbm_put_str(buf, vm);
        bbm_put_bytes(buf, converted.data, converted.len);
        bbm_buf_free(&converted);
    }
    return valid;
}

/* Reads the rest of a message as one format: rows, and groups of news.  In
   totals (@p boxed) the rows are a byte string, which may be empty. */
static bool
read_as(bbm_reader rd, bool boxed, bbm_format format, node_report *r)
{
    bbm_bytes box = boxed ? bbm_get_bytes(&rd) : (bbm_bytes){0};
    bbm_reader inner = bbm_reader_of(box.data, box.len);
    r->converted_rows.len = 0;
    r->converted_groups.len = 0;
    if (!boxed || box.len)
        bbm_loads_convert(boxed ? &inner : &rd, format, BBM_FORMAT_LATEST,
                          &r->converted_rows);
    r->groups_len = bbm_get_u32(&rd, BBM_LOADS_ROWS_MAX);
    bool valid = (!boxed || bbm_reader_done(&inner))
                 && convert_groups(&rd, r->groups_len, format,
                                   BBM_FORMAT_LATEST, &r->converted_groups)
                 && bbm_reader_done(&rd);
    r->rows = bbm_buf_view(&r->converted_rows);
    r->groups = bbm_buf_view(&r->converted_groups);
    return valid;
}

/* Reads totals of the latest format without a copy. */
static bool
read_latest_totals(bbm_reader rd, node_report *r)
{
    r->rows = bbm_get_bytes(&rd);
    r->groups_len = bbm_get_u32(&rd, BBM_LOADS_ROWS_MAX);
    r->groups = (bbm_bytes){.data = rd.data + rd.pos, .len = rd.len - rd.pos};
    return !rd.failed;
}

/* Reads the rest of a message that doesn't say its format.  If it fits just
   one, its sender is of that format. */
static bool
read_unstated(bbm_node *n, const char *from, const bbm_reader *rd, bool boxed,
              node_report *r)
{
    bbm_format known = node_known_format(n, from);
    if (known && known < BBM_FORMAT_STATED && read_as(*rd, boxed, known, r))
        return true;
    bbm_format fitting = BBM_FORMAT_UNKNOWN;
    size_t fitting_len = 0;
    bool fits_guess = false;
    for (bbm_format f = BBM_FORMAT_PLACEMENTS; f < BBM_FORMAT_STATED; f++) {
        if (!read_as(*rd, boxed, f, r))
            continue;
        fitting = f;
        fitting_len++;
        fits_guess = fits_guess || f == n->unstated_format;
    }
    if (!fitting_len)
        return false;
    if (!fits_guess)
        n->unstated_format = fitting;
    if (fitting_len == 1)
        node_observe_format(n, from, fitting);
    return read_as(*rd, boxed, fitting, r);
}

bool
node_report_read(bbm_node *n, const char *from, const bbm_reader *rd,
                 bool boxed, node_report *r)
{
    bbm_format own = n->desc.format;
    if (own < BBM_FORMAT_STATED)
        return read_as(*rd, boxed, own, r);
    if (!n->received_format)
        return read_unstated(n, from, rd, boxed, r);
    return boxed && n->received_format == BBM_FORMAT_LATEST
               ? read_latest_totals(*rd, r)
               : read_as(*rd, boxed, n->received_format, r);
}

/* ---- writing ---- */

void
node_report_put_rows(bbm_buf *buf, bbm_bytes rows, bbm_format format)
{
    if (format >= BBM_FORMAT_ORIGINS) {
        bbm_buf_add(buf, rows.data, rows.len);
        return;
    }
    bbm_reader rd = bbm_reader_of(rows.data, rows.len);
    bbm_loads_convert(&rd, BBM_FORMAT_LATEST, format, buf);
}

void
node_report_put_groups(bbm_buf *buf, size_t len, bbm_bytes groups,
                       bbm_format format)
{
    bbm_put_u64(buf, len);
    bbm_reader rd = bbm_reader_of(groups.data, groups.len);
    if (format >= BBM_FORMAT_SPEEDS)
        bbm_buf_add(buf, groups.data, groups.len);
    else
        convert_groups(&rd, len, BBM_FORMAT_LATEST, format, buf);
}
