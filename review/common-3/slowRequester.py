"""A stand-in for a requester behind a slow link with a small window: it reads its answer at a steady pace.

Command line: port, host, key, time limit in milliseconds, bytes per second, and method:path:id for each request; they are
sent on one channel, one after the other, and the first one is read at once.
Prints one JSON object for each answer.
"""

import json
import socket
import sys
import time

port, host, key, limit_ms, pace = int(sys.argv[1]), sys.argv[2], sys.argv[3], int(sys.argv[4]), float(sys.argv[5])
channel = socket.socket()
# A small window and the packets of an ordinary network: the bench's links have both.
channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
channel.settimeout(limit_ms / 1000 + 2)
channel.connect(("127.0.0.1", port))


def read_head():
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        piece = channel.recv(1)
        if not piece:
            raise OSError("the channel ended before a head")
        head += piece
    return head.decode("latin1")


def ask(method, path, request_id, is_slow):
    sent = time.time()
    seen = {"id": request_id, "method": method, "path": path, "status": 0, "length": None, "got": 0, "error": None}
    try:
        channel.sendall(
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {limit_ms}\r\n"
            f"Authorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        head = read_head()
        seen["status"] = int(head.split(" ")[1])
        seen["signed"] = "x-server-signature" in head.lower()
        lengths = [line.split(":")[1] for line in head.split("\r\n") if line.lower().startswith("content-length")]
        if not lengths:
            raise ValueError("an answer without a length, which this requester does not read")
        seen["length"] = int(lengths[0])
        while seen["got"] < seen["length"]:
            piece = channel.recv(min(2048, seen["length"] - seen["got"]))
            if not piece:
                seen["error"] = "the channel ended within the body"
                break
            seen["got"] += len(piece)
            ahead = seen["got"] / pace - (time.time() - sent)
            if is_slow and ahead > 0:
                time.sleep(ahead)
    except OSError as error:
        seen["error"] = str(error)
    seen["seconds"] = round(time.time() - sent, 2)
    seen["whole"] = seen["error"] is None and seen["got"] == seen["length"]
    print(json.dumps(seen), flush=True)
    return seen["whole"]


for index, text in enumerate(sys.argv[6:]):
    if not ask(*text.split(":"), is_slow=index > 0):
        break
