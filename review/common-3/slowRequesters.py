"""Stand-ins for many requesters behind slow links with small windows, in one process; each reads at a steady pace.

Command line: port, host, key, time limit in milliseconds, bytes per second, path of a first request, path, and identifiers of
the requests, one for each requester. Each requester first sends a request that it reads at once, and the other one on the
same channel. Prints one JSON object for each requester.
"""

import json
import socket
import sys
import time

port, host, key, limit_ms, pace = int(sys.argv[1]), sys.argv[2], sys.argv[3], int(sys.argv[4]), float(sys.argv[5])
first_path, path, identifiers = sys.argv[6], sys.argv[7], sys.argv[8:]


def build(request_path, request_id):
    return (
        f"GET {request_path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {limit_ms}\r\nAuthorization: Bearer {key}\r\n\r\n"
    ).encode()


def read_whole(channel):
    """Reads an answer at once."""
    data = b""
    while True:
        end = data.find(b"\r\n\r\n")
        if end >= 0:
            head = data[:end].decode("latin1").lower().split("\r\n")
            length = int([line.split(":")[1] for line in head if line.startswith("content-length")][0])
            if len(data) >= end + 4 + length:
                return int(head[0].split(" ")[1])
        piece = channel.recv(65536)
        if not piece:
            raise OSError("the channel ended")
        data += piece


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

    def send(self):
        self.sent = time.time()
        self.channel.sendall(build(path, self.id))
        self.channel.setblocking(False)

    def find_length(self):
        head, separator, _ = self.data.partition(b"\r\n\r\n")
        if not separator:
            return None
        lines = head.decode("latin1").lower().split("\r\n")
        return len(head) + 4 + int([line.split(":")[1] for line in lines if line.startswith("content-length")][0])

    def read(self):
        allowed = int((time.time() - self.sent) * pace) - len(self.data)
        try:
            while allowed > 0 and self.end is None:
                piece = self.channel.recv(min(allowed, 4096))
                if not piece:
                    self.end = "closed"
                self.data += piece
                allowed -= len(piece)
                if self.find_length() == len(self.data):
                    self.end = "whole"
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
            "length": self.find_length(),
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
