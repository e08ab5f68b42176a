"""Bytes of requests and answers: as the protocol words them, and nothing taken for an answer that is none."""

from __future__ import annotations

import gc
import weakref

import httptools
import pytest

from fordtrestle.load.wire import Answers, Form, Words, budget, filler

HEADS = {s: Form("book", s, "/book", "api.internal").head() for s in ("pure", "keyed", "unsafe")}


def words(semantics, size=3):
    return Words(HEADS[semantics], semantics, "acme", "7f3a", "t0", size).try_bytes("id1", 480_000, False)


def test_a_keyed_request_is_worded_as_the_protocol_has_it():
    assert words("keyed") == (
        b"POST /book HTTP/1.1\r\nHost: api.internal\r\nX-Call-Class: book\r\nX-Call-Id: id1\r\n"
        b"X-Budget: 480m\r\nX-Caller: acme\r\nCookie: user=7f3a\r\nIdempotency-Key: t0\r\n"
        b"Content-Length: 3\r\n\r\n012"
    )


def test_an_unsafe_one_has_no_key_and_a_pure_one_no_body():
    assert words("unsafe").startswith(b"POST")
    assert b"Idempotency-Key" not in words("unsafe")
    assert words("pure").startswith(b"GET")
    assert words("pure").endswith(b"user=7f3a\r\n\r\n")


def test_a_retry_has_a_new_id_the_same_key_and_says_so():
    made = Words(HEADS["keyed"], "keyed", "", "", "t0", 0)
    first, again = made.try_bytes("id1", 1500, False), made.try_bytes("id2", 700, True)
    assert again == first.replace(b"id1", b"id2").replace(b"1500u\r\n", b"700u\r\nX-Again: 1\r\n")
    assert b"X-Caller" not in first
    assert b"Cookie" not in first


def test_budgets_and_bodies():
    assert (budget(480_000), budget(480_001)) == (b"480m", b"480001u")
    assert [len(filler(size)) for size in (0, 1, 16, 17, 65_536)] == [0, 1, 16, 17, 65_536]


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def fed(*parts):
    answers = Answers()
    answers.begin()
    for part in parts:
        answers.feed(part)
    return answers


def test_answers_come_whole_byte_by_byte_and_one_after_the_other():
    answers = fed(*(OK[i : i + 1] for i in range(len(OK))))
    assert (answers.whole, answers.status, answers.keep) == (True, 200, True)
    answers.begin()
    assert not answers.got
    answers.feed(b"HTTP/1.1 503 no\r\nRetry-After: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    assert (answers.status, answers.keep, answers.retry_after_s) == (503, False, 0.25)


def test_chunks_and_interim_answers():
    answers = fed(
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
    )
    assert not answers.whole
    assert not answers.end()
    answers.feed(b"0\r\n\r\n")
    assert answers.whole
    assert answers.status == 200


def test_only_an_answer_without_length_is_whole_at_the_end():
    assert fed(b"HTTP/1.1 200 OK\r\n\r\nhi").end()
    assert not fed(OK[:-1]).end()
    assert not fed(b"HTTP/1.1 200 OK\r\nContent-").end()


@pytest.mark.parametrize(
    "data",
    [
        b"\x00noise",
        OK + OK,
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 70_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + b"y" * 2_200_000,
    ],
)
def test_what_is_no_answer_is_refused(data):
    with pytest.raises(ValueError):
        fed(data)


@pytest.mark.parametrize("text", [b"Wed, 21 Oct 2015 07:28:00 GMT", b"nan", b"-1", b"inf"])
def test_a_time_that_is_no_number_of_seconds_is_not_waited_for(text):
    answer = b"HTTP/1.1 503 no\r\nRetry-After: %b\r\nContent-Length: 0\r\n\r\n" % text
    assert fed(answer).retry_after_s is None


def test_a_closed_parser_leaves_no_cycle():
    answers = fed(OK)
    met = weakref.ref(answers)
    gc.disable()
    try:
        answers.close()
        del answers
        assert met() is None
    finally:
        gc.enable()


def test_what_goes_out_is_what_a_parser_reads():
    read = {}

    class Handler:
        def on_header(self, name, value):
            read[name] = value

        def on_body(self, body):
            read["body"] = body

    parser = httptools.HttpRequestParser(Handler())
    parser.feed_data(words("unsafe", 20))
    assert (parser.get_method(), read["body"], read[b"X-Call-Id"]) == (b"POST", filler(20), b"id1")
