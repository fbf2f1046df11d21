// Package garbler makes answers that are not HTTP/1.1, and sound ones to compare them with.
// Each garbled answer is a sound one with a single fault.
package garbler

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Answer is a template of the bytes that a server sends for one request.
type Answer struct {
	// Name describes what is special.
	Name string
	// Template contains "{fields}" for the lines of further header fields, "{body}", "{chunks}"
	// for the body as one chunk without the last one, and "{length}", "{half}" and "{hex}" for
	// the body's length, half of it and its length in hexadecimal.
	Template string
}

// Render returns the bytes of the answer with header fields, each a line with its end.
func (a Answer) Render(fields, body string) string {
	return strings.NewReplacer(
		"{fields}", fields, "{body}", body, "{length}", strconv.Itoa(len(body)), "{half}", strconv.Itoa(len(body)/2),
		"{hex}", strconv.FormatInt(int64(len(body)), 16), "{chunks}", fmt.Sprintf("%x\r\n%s\r\n", len(body), body),
	).Replace(a.Template)
}

const (
	status   = "HTTP/1.1 200 OK\r\n"
	length   = "Content-Length: {length}\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n"
	lastPart = "0\r\n\r\n"
)

// Sound returns answers that any recipient reads in the same way. One without a length ends
// with its connection.
func Sound() []Answer {
	return []Answer{
		{"Length", status + "{fields}" + length + "\r\n{body}"},
		{"LengthFirst", status + length + "{fields}\r\n{body}"},
		{"LengthInTabs", status + "{fields}Content-Length:\t{length}\t \r\n\r\n{body}"},
		{"LowerCase", status + "{fields}content-length: {length}\r\n\r\n{body}"},
		{"NoReason", "HTTP/1.1 200 \r\n{fields}" + length + "\r\n{body}"},
		{"OldProtocol", "HTTP/1.0 200 OK\r\n{fields}" + length + "\r\n{body}"},
		{"EmptyValue", status + "{fields}Empty:\r\nBlank: \r\n" + length + "\r\n{body}"},
		{"ValueWithTabAndColons", status + "{fields}Wide: a\tb::c,d;e=\"f\"\r\n" + length + "\r\n{body}"},
		{"UnusualName", status + "{fields}!#$%&'*+-.^_`|~0aZ: x\r\n" + length + "\r\n{body}"},
		{"Chunks", status + "{fields}" + chunked + "\r\n{chunks}" + lastPart},
		{"ChunksUpperCase", status + "{fields}transfer-encoding: CHUNKED\r\n\r\n{chunks}" + lastPart},
		{"ChunkExtension", status + "{fields}" + chunked + "\r\n{hex};a=b; c=\"d\"\r\n{body}\r\n0;e\r\n\r\n"},
		{"ChunkSizeWithZeros", status + "{fields}" + chunked + "\r\n000{hex}\r\n{body}\r\n000\r\n\r\n"},
		{"Trailer", status + "{fields}" + chunked + "\r\n{chunks}0\r\nSum: x\r\nOther:\r\n\r\n"},
		{"Interim", "HTTP/1.1 100 Continue\r\n\r\n" + status + "{fields}" + length + "\r\n{body}"},
		{"InterimWithFields", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + status + "{fields}" + length + "\r\n{body}"},
		{"EmptyLineBefore", "\r\n" + status + "{fields}" + length + "\r\n{body}"},
		{"Closing", status + "{fields}Connection: close\r\n" + length + "\r\n{body}"},
	}
}

// Garbled returns answers that no recipient may take for an answer.
func Garbled() []Answer {
	var all []Answer
	for _, group := range [][]Answer{statusLines(), lines(), lengths(), transferEncodings(), interims(), chunks(), trailers()} {
		all = append(all, group...)
	}
	return all
}

// each returns answers that differ in one text, which is put into a template in place of "{}".
func each(name, template string, texts ...string) []Answer {
	answers := make([]Answer, 0, len(texts))
	for _, text := range texts {
		answers = append(answers, Answer{
			Name:     name + strings.ReplaceAll(fmt.Sprintf("%q", text), "/", "%"),
			Template: strings.ReplaceAll(template, "{}", text),
		})
	}
	return answers
}

func statusLines() []Answer {
	return append(
		each("StatusLine", "{}\r\n{fields}"+length+"\r\n{body}",
			"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK",
			"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
			"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200OK", "HTTP/1.1 OK", "HTTP/1.1", "200 OK",
			"HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "HTTP/11 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK",
			"garbage 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK"),
		each("StatusLineEnds", "HTTP/1.1 200 OK{}{fields}"+length+"\r\n{body}", "\n", "\r", "\n\r", "\r\r\n")...)
}

// lines returns answers with a line that is no field.
func lines() []Answer {
	return append(
		each("Line", status+"{fields}{}\r\n"+length+"\r\n{body}",
			"no field", ": no name", " : no name", "Blank : x", "Tab\t: x", "Two Words: x", "Nul\x00: x", "Bell\x07: x",
			"Delete\x7f: x", "Escape\x1b: x", "Return\r: x", "Accented\xe9: x", "(Comment): x", "\"Quoted\": x", "A/b: x", "A@b: x",
			"[A]: x", "A=b: x",
			" Folded: x", "\tFolded: x", " folded", "\tfolded", " ", "Folded: x\r\n y", "Folded: x\r\n\ty", "Folded: x\r\n ",
			"Folded: x\r\n y: z", "Folded:\r\n x",
			"Nul: x\x00y", "Return: x\ry", "Return: x\r", "Bell: x\x07", "Escape: \x1b[0m", "Delete: x\x7f", "Feed: x\vy\fz",
			"Ends: x\nNext: y", "Ends: x\n", "Ends: x\n\r"),
		Answer{"BareLineFeeds", strings.ReplaceAll(status+"Any: x\r\n"+length+"\r\n{body}", "\r\n", "\n")},
		Answer{"FoldBeforeFields", status + " x\r\n{fields}" + length + "\r\n{body}"},
		Answer{"FoldBehindLength", status + "{fields}" + length + " \r\n\r\n{body}"},
		Answer{"EmptyLineEndsWithoutReturn", status + "{fields}" + length + "\n{body}"},
		Answer{"TwoTypes", status + "{fields}Content-Type: a/b\r\nContent-Type: c/d\r\n" + length + "\r\n{body}"},
		Answer{"TwoEncodings", status + "{fields}Content-Encoding: gzip\r\nContent-Encoding: br\r\n" + length + "\r\n{body}"})
}

func lengths() []Answer {
	return append(
		each("ContentLength", status+"{fields}Content-Length:{}\r\n\r\n{body}",
			"", " ", " +{length}", " -{length}", " -1", " 0{length}", " 00{half}", " 0x{hex}", " {hex}h", " {length}.0",
			" {length}e0", " {length} bytes", " {length};", " {length},", " ,{length}", " {length}, {length}", " {length},{half}",
			" {half}, {length}", " {half} {half}", " 1_0", " \"{length}\"", " \v{length}", " {length}\f", " x", " \xd9\xa3",
			" 9223372036854775807", " 9223372036854775808", " 18446744073709551616", " 99999999999999999999999999999999"),
		Answer{"LengthTwiceUnequal", status + length + "{fields}Content-Length: {half}\r\n\r\n{body}"},
		Answer{"LengthTwiceUnequalReversed", status + "Content-Length: {half}\r\n{fields}" + length + "\r\n{body}"},
		Answer{"LengthTwiceEqual", status + length + "{fields}" + length + "\r\n{body}"},
		Answer{"LengthTwiceInOtherCase", status + length + "{fields}CONTENT-LENGTH: {half}\r\n\r\n{body}"},
		Answer{"LengthNextToNoNumber", status + length + "{fields}Content-Length: x\r\n\r\n{body}"},
		Answer{"LengthBlankBeforeColon", status + "{fields}Content-Length : {length}\r\n\r\n{body}"},
		Answer{"LengthFolded", status + "{fields}Content-Length:\r\n {length}\r\n\r\n{body}"},
		Answer{"LengthWithoutColon", status + "{fields}Content-Length {length}\r\n\r\n{body}"},
		Answer{"LengthOfNoContent", "HTTP/1.1 204 No Content\r\n{fields}" + length + "\r\n{body}"})
}

func transferEncodings() []Answer {
	return append(
		each("TransferEncoding", status+"{fields}Transfer-Encoding:{}\r\n\r\n{chunks}"+lastPart,
			"", " ", " identity", " gzip", " gzip, chunked", " chunked, gzip", " chunked, chunked", " chunked,", " ,chunked",
			" chunked;q=1", " xchunked", " chunkedx", " \"chunked\"", " \vchunked", " chunked\x00", " chunk ed"),
		Answer{"ChunkedTwice", status + chunked + "{fields}" + chunked + "\r\n{chunks}" + lastPart},
		Answer{"ChunkedAndIdentity", status + "Transfer-Encoding: identity\r\n{fields}" + chunked + "\r\n{chunks}" + lastPart},
		Answer{"ChunkedWithLength", status + "{fields}" + chunked + length + "\r\n{chunks}" + lastPart},
		Answer{"LengthWithChunked", status + "{fields}" + length + chunked + "\r\n{chunks}" + lastPart},
		Answer{"LengthWithIdentity", status + "{fields}" + length + "Transfer-Encoding: identity\r\n\r\n{body}"},
		Answer{"ChunkedBlankBeforeColon", status + "{fields}Transfer-Encoding : chunked\r\n\r\n{chunks}" + lastPart},
		Answer{"ChunkedFolded", status + "{fields}Transfer-Encoding:\r\n chunked\r\n\r\n{chunks}" + lastPart},
		Answer{"ChunkedInOldProtocol", "HTTP/1.0 200 OK\r\n{fields}" + chunked + "\r\n{chunks}" + lastPart},
		Answer{"ChunkedNoContent", "HTTP/1.1 204 No Content\r\n{fields}" + chunked + "\r\n{chunks}" + lastPart})
}

func interims() []Answer {
	return each("Interim", "{}\r\n\r\n"+status+"{fields}"+length+"\r\n{body}",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade",
		"HTTP/1.1 100 Continue\r\nContent-Length: 5", "HTTP/1.1 100 Continue\r\nContent-Length: x",
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked", "HTTP/1.1 100 Continue\r\nno field",
		"HTTP/1.1 100 Continue\r\n folded", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 099 OK", "HTTP/1.1 100 Continue\r\n\r\ngarbage")
}

func chunks() []Answer {
	return append(
		each("ChunkSize", status+"{fields}"+chunked+"\r\n{}\r\n{body}\r\n"+lastPart,
			"", "x", "-{hex}", "+{hex}", "0x{hex}", " {hex}", "{hex} ", "{hex}\t", "{hex} 0", "{hex}\r", "{hex}\x00", "{hex},0",
			"{hex};\x00", "{hex};a\rb", "00000000000000000{hex}", "8000000000000000", "ffffffffffffffff", "1ffffffffffffffff"),
		Answer{"ChunkSizeEndsWithoutReturn", status + "{fields}" + chunked + "\r\n{hex}\n{body}\r\n" + lastPart},
		Answer{"ChunkEndsWithoutReturn", status + "{fields}" + chunked + "\r\n{hex}\r\n{body}\n" + lastPart},
		Answer{"ChunkWithoutEnd", status + "{fields}" + chunked + "\r\n{hex}\r\n{body}" + lastPart},
		Answer{"ChunkLongerThanItsSize", status + "{fields}" + chunked + "\r\n1\r\n{body}\r\n" + lastPart},
		Answer{"LastChunkEndsWithoutReturn", status + "{fields}" + chunked + "\r\n{chunks}0\n\r\n"})
}

func trailers() []Answer {
	return append(
		each("Trailer", status+"{fields}"+chunked+"\r\n{chunks}0\r\n{}\r\n\r\n",
			"no field", ": no name", "Blank : x", "Two Words: x", "Nul\x00: x", "Nul: x\x00", "Return: x\ry", " folded",
			"Folded: x\r\n y", "Ends: x\nNext: y", "Content-Length: {length}", "Transfer-Encoding: chunked"),
		Answer{"TrailerEndsWithoutReturn", status + "{fields}" + chunked + "\r\n{chunks}0\r\nSum: x\r\n\n"})
}

// Serve answers the requests of each connection with the bytes that answer returns for them,
// until the client closes it. It returns once the listener is closed.
func Serve(listener net.Listener, answer func(request *http.Request) string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConnection(conn, answer)
	}
}

func serveConnection(conn net.Conn, answer func(request *http.Request) string) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, answer(request)); err != nil {
			return
		}
	}
}
