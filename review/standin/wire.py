"""HTTP/1.1 on plain sockets: heads, bodies and answers, without any leniency."""

import socket
import struct


class BrokenOff(Exception):
    """The other side ended the connection before the message was complete."""


class Malformed(Exception):
    """The bytes are not HTTP/1.1."""


class Connection:
    """A TCP connection with a read buffer."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass

    def reset(self):
        """Closes the connection with a TCP reset."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
        self.close()

    def send(self, data):
        self.sock.sendall(data)

    def fill(self):
        """Reads more bytes; returns False at the end of the stream."""
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def read_until(self, end, limit=65536):
        while end not in self.buffer:
            if len(self.buffer) > limit:
                raise Malformed("no end of a line or head")
            if not self.fill():
                raise BrokenOff("in a line or head, after %d bytes" % len(self.buffer))
        found, self.buffer = self.buffer.split(end, 1)
        return found

    def read_exactly(self, count):
        while len(self.buffer) < count:
            if not self.fill():
                raise BrokenOff("in a body")
        found, self.buffer = self.buffer[:count], self.buffer[count:]
        return found

    def read_to_end(self):
        while self.fill():
            pass
        found, self.buffer = self.buffer, b""
        return found

    def read_head(self):
        """Returns the first line and the header fields, by their names in lower case."""
        lines = self.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon:
                raise Malformed("header line %r" % line)
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def read_chunks(self):
        """Returns a chunked body, once its last chunk has arrived."""
        body = b""
        while True:
            size = int(self.read_until(b"\r\n", 1024).split(b";")[0], 16)
            if size == 0:
                while self.read_until(b"\r\n", 1024):
                    pass
                return body
            body += self.read_exactly(size)
            if self.read_exactly(2) != b"\r\n":
                raise Malformed("chunk without an end")

    def read_body(self, headers, until_close):
        """Returns a whole body. Without a length it is empty, or ends with the connection."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return self.read_chunks()
        if "content-length" in headers:
            return self.read_exactly(int(headers["content-length"]))
        return self.read_to_end() if until_close else b""


class Answer:
    """A complete answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def read_answer(connection):
    """Returns the next final answer, complete by its own framing."""
    while True:
        line, headers = connection.read_head()
        parts = line.split(" ", 2)
        if len(parts) < 2 or parts[0] != "HTTP/1.1" or not parts[1].isdigit():
            raise Malformed("status line %r" % line)
        status = int(parts[1])
        if status >= 200:
            return Answer(status, headers, connection.read_body(headers, True))


def connect(address, timeout):
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock)


def head(first_line, headers):
    return (first_line + "\r\n" + "".join("%s: %s\r\n" % field for field in headers) + "\r\n").encode("latin-1")
