"""A replica as the platform's pages describe it: one process, one service.

It logs each request that it begins to run, as a line of JSON. Plain requests
are answered after --work-ms; requests of a path with /stream/ get a stream of
--events events, whose ids count from 1; with --wide-ids from the time in
nanoseconds, shifted by four bits. With --crlf the lines of events end in CRLF.
--crash-part ID: it ends when it begins to write an answer to a prompt that has
this part, but not as the last one; with --crash-after N once it has written N
events.
"""

import argparse
import asyncio
import json
import os
import time

options = None
log = None
listener = None
channels = set()


def write_line(**fields):
    fields["at"] = time.time()
    log.write(json.dumps(fields) + "\n")
    log.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name):
        return self.headers.get(name.lower())


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = {}
    while True:
        line = await reader.readline()
        if line == b"\r\n":
            break
        if not line:
            return None
        name, value = line.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def fields_of(request, sealed=True):
    text = ""
    if request.get("Cuminquay-Attempt-Id"):
        text += "Cuminquay-Attempt-Id: %s\r\n" % request.get(
            "Cuminquay-Attempt-Id")
    if sealed:
        text += "Cuminquay-Replica-Seal: seal-of-%s\r\n" % options.id
    return text


def send(writer, status, fields, body, content_type="text/plain"):
    writer.write(("HTTP/1.1 %d X\r\n%sContent-Type: %s\r\n"
                  "Content-Length: %d\r\n\r\n" %
                  (status, fields, content_type, len(body))).encode() + body)


def has_crash_part(request):
    parts = (request.get("Cuminquay-Prefix-Hash") or "").split(",")[:-1]
    return any(part.split(":")[0] == options.crash_part for part in parts)


def crash(request, part):
    """The process ends, and with it its channels."""
    for writer in channels:
        writer.transport.abort()
    listener.close()
    write_line(event="crash", id=options.id, part=part,
               attempt=request.get("Cuminquay-Attempt-Id"))
    os._exit(1)


async def serve_stream(request, writer):
    base = time.time_ns() << 4 if options.wide_ids else 0
    last = int(request.get("Last-Event-Id") or 0)
    if options.wide_ids and last:
        base = last >> 4 << 4
    first = last - base + 1 if last else 1
    await asyncio.sleep(options.work_ms / 1000)
    crashes = options.crash_part and has_crash_part(request)
    if crashes and options.crash_after == 0:
        crash(request, options.crash_part)
    writer.write(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n" %
                  fields_of(request)).encode())
    for number in range(first, options.events + 1):
        event = b"id: %d\ndata: piece-%d of %d\n\n" % (
            base + number, number, options.events)
        if options.crlf:
            event = event.replace(b"\n", b"\r\n")
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        if crashes and number - first + 1 == options.crash_after:
            await asyncio.sleep(0.005)
            crash(request, options.crash_part)
        await asyncio.sleep(options.gap_ms / 1000)
    writer.write(b"0\r\n\r\n")


async def serve(request, writer):
    if request.target == "/healthz":
        send(writer, 200, "Cuminquay-Replica-Id: %s\r\n" % options.id, b"")
        return
    if request.target == "/v1/report":
        report = {"stage": "both", "models": [{"name": "m", "version": 1,
                                               "adapters": []}],
                  "busy": False, "seq_num": 0, "waiting": 0, "running": 0,
                  "kv_used": 0, "kv_total": 450000, "handles": 0,
                  "tickets": [], "pace": 1.0}
        send(writer, 200, "", json.dumps(report).encode(), "application/json")
        return
    if request.target == "/v1/order":
        send(writer, 200, "", b'{"avail":450000}', "application/json")
        return
    expected = request.get("Cuminquay-Expect-Replica")
    if expected is not None and expected != options.id:
        send(writer, 421, fields_of(request, False) +
             "Cuminquay-Not-Executed: 1\r\n", b"")
        return
    write_line(event="run", id=options.id, method=request.method,
               target=request.target, body=request.body[:40].decode("latin-1"),
               attempt=request.get("Cuminquay-Attempt-Id"),
               parts=request.get("Cuminquay-Prefix-Hash"),
               tenant=request.get("Cuminquay-Tenant"))
    if "/stream/" in request.target:
        await serve_stream(request, writer)
        return
    await asyncio.sleep(options.work_ms / 1000)
    send(writer, 200, fields_of(request), b"answer of " + options.id.encode())


async def on_channel(reader, writer):
    channels.add(writer)
    try:
        while True:
            request = await read_request(reader)
            if request is None:
                break
            await serve(request, writer)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        channels.discard(writer)
        writer.close()


async def main():
    ip, port = options.listen.split(":")
    global listener
    listener = await asyncio.start_server(on_channel, ip, int(port),
                                          backlog=512)
    await listener.serve_forever()


parser = argparse.ArgumentParser()
parser.add_argument("--listen", required=True)
parser.add_argument("--id", required=True)
parser.add_argument("--log", required=True)
parser.add_argument("--work-ms", type=float, default=15)
parser.add_argument("--gap-ms", type=float, default=20)
parser.add_argument("--events", type=int, default=6)
parser.add_argument("--wide-ids", action="store_true")
parser.add_argument("--crlf", action="store_true")
parser.add_argument("--crash-part")
parser.add_argument("--crash-after", type=int, default=0)
options = parser.parse_args()
log = open(options.log, "a")
asyncio.run(main())
