"""Stand-ins for many requesters behind slow links with small windows, in one process; each reads at a steady pace.

Command line: port, host, key, time limit in milliseconds, bytes per second, size of an answer, path of a first request, path,
and identifiers of the requests, one for each requester. Each requester first sends a request that it reads at once, and the other one on the
same channel. Prints one JSON object for each requester.
"""

import json
import socket
import sys
import time

port, host, key, limit_ms, pace = int(sys.argv[1]), sys.argv[2], sys.argv[3], int(sys.argv[4]), float(sys.argv[5])
expected, first_path, path, identifiers = int(sys.argv[6]), sys.argv[7], sys.argv[8], sys.argv[9:]


def build(request_path, request_id):
    return (
        f"GET {request_path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {limit_ms}\r\nAuthorization: Bearer {key}\r\n\r\n"
    ).encode()


def find_end(data):
    """Length of the answer at the beginning of data; None while it is not whole."""
    head, separator, _ = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    start = len(head) + 4
    fields = dict(line.split(":", 1) for line in head.decode("latin1").lower().split("\r\n")[1:])
    if "content-length" in fields:
        end = start + int(fields["content-length"])
        return end if len(data) >= end else None
    while True:
        line_end = data.find(b"\r\n", start)
        if line_end < 0:
            return None
        size = int(data[start:line_end], 16)
        start = line_end + 2 + size + 2
        if size == 0:
            return start if len(data) >= start else None


def read_whole(channel):
    """Reads an answer at once, and returns its status."""
    data = b""
    while find_end(data) is None:
        piece = channel.recv(65536)
        if not piece:
            raise OSError("the channel ended")
        data += piece
    return int(data.split(b" ", 2)[1])


class Requester:
    def __init__(self, request_id):
        self.id = request_id
        self.channel = socket.socket()
        # A small window and the packets of an ordinary network: the bench's links have both.
        self.channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        self.channel.settimeout(5)
        self.channel.connect(("127.0.0.1", port))
        self.channel.sendall(build(first_path, f"{request_id}-first"))
        self.first_status = read_whole(self.channel)
        self.data = b""
        self.end = None
        # Fewer bytes cannot be a whole answer of the size that the case asks for.
        self.expected = expected

    def send(self):
        self.sent = time.time()
        self.channel.sendall(build(path, self.id))
        self.channel.setblocking(False)

    def read(self):
        allowed = int((time.time() - self.sent) * pace) - len(self.data)
        try:
            while allowed > 0 and self.end is None:
                piece = self.channel.recv(min(allowed, 4096))
                if not piece:
                    self.end = "closed"
                self.data += piece
                allowed -= len(piece)
                if self.data.endswith(b"\r\n") or len(self.data) >= self.expected:
                    self.end = "whole" if find_end(self.data) is not None else self.end
        except BlockingIOError:
            pass
        except OSError as error:
            self.end = str(error)
        if self.end is None and time.time() - self.sent > limit_ms / 1000:
            self.end = "time limit"
        self.seconds = round(time.time() - self.sent, 2)

    def describe(self):
        status = int(self.data.split(b" ", 2)[1]) if self.data else 0
        return {
            "id": self.id,
            "firstStatus": self.first_status,
            "status": status,
            "got": len(self.data),
            "end": self.end,
            "seconds": self.seconds,
        }


requesters = [Requester(request_id) for request_id in identifiers]
for requester in requesters:
    requester.send()
while any(requester.end is None for requester in requesters):
    for requester in requesters:
        if requester.end is None:
            requester.read()
    time.sleep(0.01)
for requester in requesters:
    print(json.dumps(requester.describe()))
