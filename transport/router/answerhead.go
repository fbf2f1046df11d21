package router

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/transport/framer"
)

var errMalformedAnswer = eris.New("malformed answer from another process")

// checkAnswerHead rejects an answer of another process that HTTP/1.1 could not carry unchanged. A
// process of an older version passes on whatever its backend server sends.
func checkAnswerHead(head *messenger.AnswerHead) error {
	if head.Status < framer.MinFinalStatus || head.Status > framer.MaxStatus || head.Length < framer.LengthChunked {
		return errMalformedAnswer
	}
	for _, header := range head.Headers {
		if !framer.IsField(header.Name, header.Value) || isLength(header.Name) {
			return errMalformedAnswer
		}
	}
	return nil
}

// isLength reports whether a field would tell a length of the body besides that of the head.
func isLength(name string) bool {
	return strings.EqualFold(name, consts.HeaderContentLength) || strings.EqualFold(name, consts.HeaderTransferEncoding)
}

// bodyCounter compares the bytes of a body with the length that its head names.
type bodyCounter struct {
	// length is -1 if the head names none.
	length   int64
	received int64
}

// add counts a part and reports whether the body may still be what the head says.
func (b *bodyCounter) add(part []byte) bool {
	b.received += int64(len(part))
	return b.length < 0 || b.received <= b.length
}

// whole reports whether a body that has ended has the length that the head names.
func (b *bodyCounter) whole() bool { return b.length < 0 || b.received == b.length }
