// Length framing, and encoding and decoding of the messages between processes.
#include <gtest/gtest.h>

#include <cmath>

#include "wire/codec.h"
#include "wire/frame.h"

namespace {

TEST(Frame, IsReassembledFromSingleBytes)
{
    GBytes *wrapped = cq_frame_wrap("hello", 5);
    gsize len;
    const char *data =
        static_cast<const char *>(g_bytes_get_data(wrapped, &len));
    cq_frame_reader_t reader;
    cq_frame_init(&reader);
    GBytes *payload = nullptr;
    for (gsize i = 0; i < len; i++) {
        EXPECT_EQ(CQ_FRAME_NONE, cq_frame_next(&reader, &payload));
        cq_frame_push(&reader, data + i, 1);
    }
    ASSERT_EQ(CQ_FRAME_READY, cq_frame_next(&reader, &payload));
    EXPECT_EQ(5u, g_bytes_get_size(payload));
    EXPECT_FALSE(cq_frame_partial(&reader));
    g_bytes_unref(payload);
    g_bytes_unref(wrapped);
    cq_frame_clear(&reader);
}

TEST(Frame, RejectsALengthAboveTheLimit)
{
    cq_frame_reader_t reader;
    cq_frame_init(&reader);
    const guint8 head[] = {0x7f, 0xff, 0xff, 0xff};
    cq_frame_push(&reader, head, sizeof head);
    GBytes *payload = nullptr;
    EXPECT_EQ(CQ_FRAME_TOO_LONG, cq_frame_next(&reader, &payload));
    cq_frame_clear(&reader);
}

Cq__Frame *
unpack(GBytes *wrapped)
{
    gsize len;
    const guint8 *data =
        static_cast<const guint8 *>(g_bytes_get_data(wrapped, &len));
    return cq__frame__unpack(nullptr, len - 4, data + 4);
}

TEST(Codec, SummaryIsDecodedAsItWasEncoded)
{
    cq_summary_t summary = {};
    summary.host = 7;
    summary.incarnation = 9;
    summary.shares_len = 1;
    summary.shares[0] = {G_MAXUINT64, {1, 2, 3, 4}, 5, 6};
    summary.leaving_len = 1;
    summary.leaving[0] = {8, 2};
    GBytes *wrapped = cq_codec_encode_summary(&summary, {10, 11}, nullptr);
    Cq__Frame *frame = unpack(wrapped);
    ASSERT_NE(nullptr, frame);
    cq_summary_t decoded;
    ASSERT_TRUE(cq_codec_decode_summary(frame->summary, &decoded));
    EXPECT_EQ(7u, decoded.host);
    EXPECT_EQ(G_MAXUINT64, decoded.shares[0].upstream);
    EXPECT_EQ(4, decoded.shares[0].placed_us[3]);
    EXPECT_EQ(2u, decoded.leaving[0].incarnation);
    cq__frame__free_unpacked(frame, nullptr);
    g_bytes_unref(wrapped);
}

TEST(Codec, RejectsAnEntryWithAWrongHash)
{
    cq_config_entry_t entry = {};
    g_strlcpy(entry.service, "s", sizeof entry.service);
    char body[] = "body";
    entry.body = body;
    g_strlcpy(entry.hash, "00", sizeof entry.hash);
    GBytes *wrapped = cq_codec_encode_entry(&entry);
    Cq__Frame *frame = unpack(wrapped);
    cq_config_entry_t decoded;
    EXPECT_FALSE(cq_codec_decode_entry(frame->entry, &decoded));
    cq__frame__free_unpacked(frame, nullptr);
    g_bytes_unref(wrapped);
}

TEST(Codec, ReportsOnPartsAreDecodedAsTheyWereEncoded)
{
    cq_part_report_t rows[4] = {
        {CQ_PART_CRASHED, 1, G_MAXUINT64, TRUE, 3, 4, 5},
        {CQ_PART_ANSWERED, 6, 7, FALSE, 0, 0, 0},
        {CQ_PART_RETRACTED, 1, 8, TRUE, 3, 4, 5},
        {CQ_PART_CONFIRMED, 1, 9, TRUE, 3, 4, 5}};
    GPtrArray *frames = cq_codec_encode_parts(rows, 4);
    GArray *decoded = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    for (guint i = 0; i < frames->len; i++) {
        Cq__Frame *frame =
            unpack(static_cast<GBytes *>(g_ptr_array_index(frames, i)));
        ASSERT_NE(nullptr, frame);
        ASSERT_TRUE(cq_codec_decode_parts(frame->parts, decoded));
        cq__frame__free_unpacked(frame, nullptr);
    }
    ASSERT_EQ(4u, decoded->len);
    for (guint i = 0; i < 4; i++) {
        const cq_part_report_t *row =
            &g_array_index(decoded, cq_part_report_t, i);
        EXPECT_EQ(rows[i].kind, row->kind);
        EXPECT_EQ(rows[i].service, row->service);
        EXPECT_EQ(rows[i].part, row->part);
        EXPECT_EQ(rows[i].whole, row->whole);
        EXPECT_EQ(rows[i].team, row->team);
        EXPECT_EQ(rows[i].crash, row->crash);
        EXPECT_EQ(rows[i].age_us, row->age_us);
    }
    g_array_unref(decoded);
    g_ptr_array_unref(frames);
}

// A host of an earlier version rejects a whole frame with a kind of report
// that it doesn't know: the crashes and answers beside it must reach it all
// the same.
TEST(Codec, RetractionsDontTakeCrashesFromHostsOfAnEarlierVersion)
{
    const cq_part_report_t rows[5] = {
        {CQ_PART_CRASHED, 1, 2, TRUE, 3, 4, 5},
        {CQ_PART_ANSWERED, 6, 7, FALSE, 0, 0, 0},
        {CQ_PART_RETRACTED, 1, 8, TRUE, 3, 4, 5},
        {CQ_PART_CRASHED, 1, 9, TRUE, 3, 4, 5},
        {CQ_PART_CONFIRMED, 1, 8, TRUE, 3, 4, 5}};
    GPtrArray *frames = cq_codec_encode_parts(rows, 5);
    guint understood = 0;
    for (guint i = 0; i < frames->len; i++) {
        Cq__Frame *frame =
            unpack(static_cast<GBytes *>(g_ptr_array_index(frames, i)));
        ASSERT_NE(nullptr, frame);
        bool known = true;
        for (gsize k = 0; k < frame->parts->n_rows; k++) {
            known = known && frame->parts->rows[k]->kind <= CQ_PART_ANSWERED;
        }
        understood += known ? frame->parts->n_rows : 0;
        cq__frame__free_unpacked(frame, nullptr);
    }
    EXPECT_EQ(3u, understood);
    g_ptr_array_unref(frames);
    frames = cq_codec_encode_parts(rows, 0);
    EXPECT_EQ(0u, frames->len);
    g_ptr_array_unref(frames);
}

TEST(Codec, ARecordOfAPartAgesUntilItIsRead)
{
    cq_part_record_t record = {};
    record.len = 1;
    record.crashes[0] = {CQ_PART_CRASHED, 1, 2, TRUE, 3, 4, 5};
    char *text = cq_codec_format_part_record(&record, 1000);
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    ASSERT_TRUE(cq_codec_parse_part_record(text, strlen(text), 1100, rows));
    ASSERT_EQ(1u, rows->len);
    EXPECT_EQ(105, g_array_index(rows, cq_part_report_t, 0).age_us);
    EXPECT_TRUE(g_array_index(rows, cq_part_report_t, 0).whole);
    g_array_set_size(rows, 0);
    ASSERT_TRUE(cq_codec_parse_part_record(text, strlen(text), 900, rows));
    EXPECT_EQ(5, g_array_index(rows, cq_part_report_t, 0).age_us);
    g_array_set_size(rows, 0);
    EXPECT_FALSE(cq_codec_parse_part_record("//8=", 4, 900, rows));
    EXPECT_FALSE(cq_codec_parse_part_record("[[[[", 4, 900, rows));
    EXPECT_FALSE(cq_codec_parse_part_record("", 0, 900, rows));
    /* From the end of time, as are all times that don't fit. */
    g_array_set_size(rows, 0);
    g_free(text);
    text = cq_codec_format_part_record(&record, G_MININT64);
    ASSERT_TRUE(cq_codec_parse_part_record(text, strlen(text), 900, rows));
    EXPECT_EQ(g_array_index(rows, cq_part_report_t, 0).age_us, 5);
    g_array_unref(rows);
    g_free(text);
}

TEST(Codec, RejectsReportsOnPartsThatNoHostSends)
{
    GArray *decoded = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    Cq__PartReport row = CQ__PART_REPORT__INIT;
    Cq__PartReport *rows[] = {&row};
    Cq__PartReports message = CQ__PART_REPORTS__INIT;
    message.n_rows = 1;
    message.rows = rows;
    row.kind = 4;
    EXPECT_FALSE(cq_codec_decode_parts(&message, decoded));
    row.kind = CQ_PART_CRASHED;
    row.age_us = G_MAXUINT64;
    EXPECT_FALSE(cq_codec_decode_parts(&message, decoded));
    message.n_rows = CQ_PART_REPORTS_MAX + 1;
    EXPECT_FALSE(cq_codec_decode_parts(&message, decoded));
    g_array_unref(decoded);
}

// Random bytes are decoded or rejected, without a crash.
TEST(Codec, SurvivesRandomBytes)
{
    GRand *rand = g_rand_new_with_seed(5);
    for (int i = 0; i < 20000; i++) {
        guint8 bytes[64];
        gsize len = g_rand_int_range(rand, 0, sizeof bytes);
        for (gsize k = 0; k < len; k++) {
            bytes[k] = g_rand_int_range(rand, 0, 256);
        }
        Cq__Frame *frame = cq__frame__unpack(nullptr, len, bytes);
        if (frame != nullptr) {
            if (frame->kind_case == CQ__FRAME__KIND_SUMMARY) {
                cq_summary_t summary;
                cq_codec_decode_summary(frame->summary, &summary);
            }
            if (frame->kind_case == CQ__FRAME__KIND_PARTS) {
                GArray *rows =
                    g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
                cq_codec_decode_parts(frame->parts, rows);
                g_array_unref(rows);
            }
            cq__frame__free_unpacked(frame, nullptr);
        }
    }
    g_rand_free(rand);
}

TEST(Codec, ASummarySaysWhetherItsSenderIsCutOff)
{
    for (gboolean cut_off : {1, 0}) {
        cq_summary_t summary = {};
        summary.cut_off = cut_off;
        GBytes *wrapped =
            cq_codec_encode_summary(&summary, cq_hlc_t{0, 0}, nullptr);
        Cq__Frame *frame = unpack(wrapped);
        ASSERT_NE(nullptr, frame);
        cq_summary_t decoded;
        ASSERT_TRUE(cq_codec_decode_summary(frame->summary, &decoded));
        EXPECT_EQ(cut_off, decoded.cut_off);
        EXPECT_FALSE(decoded.draining);
        cq__frame__free_unpacked(frame, nullptr);
        g_bytes_unref(wrapped);
    }
}

TEST(Codec, RateLimitsInASummaryAreDecodedAsTheyWereEncoded)
{
    cq_summary_t summary = {};
    summary.rates_len = 2;
    summary.rates[0] = {G_MAXUINT64, 2, 3, TRUE, 1.7};
    summary.rates[1] = {5, 6, 7, FALSE, 0};
    GBytes *wrapped =
        cq_codec_encode_summary(&summary, cq_hlc_t{0, 0}, nullptr);
    Cq__Frame *frame = unpack(wrapped);
    ASSERT_NE(nullptr, frame);
    cq_summary_t decoded;
    ASSERT_TRUE(cq_codec_decode_summary(frame->summary, &decoded));
    ASSERT_EQ(2u, decoded.rates_len);
    for (guint i = 0; i < 2; i++) {
        EXPECT_EQ(summary.rates[i].upstream, decoded.rates[i].upstream);
        EXPECT_EQ(summary.rates[i].incarnation, decoded.rates[i].incarnation);
        EXPECT_EQ(summary.rates[i].version, decoded.rates[i].version);
        EXPECT_EQ(summary.rates[i].limited, decoded.rates[i].limited);
        EXPECT_EQ(summary.rates[i].per_s, decoded.rates[i].per_s);
    }
    for (double invalid : {-1.0, 1e300, (double)NAN, (double)INFINITY}) {
        frame->summary->rates[0]->per_s = invalid;
        EXPECT_FALSE(cq_codec_decode_summary(frame->summary, &decoded));
    }
    cq__frame__free_unpacked(frame, nullptr);
    g_bytes_unref(wrapped);
}

} // namespace
