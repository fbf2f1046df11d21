package connector

import (
	"context"
	"fmt"
	"path"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// ByteCounter is told the length of each message of a call that this process
// makes: the address of the other process, the method, such as "Gossip", and the
// length in bytes of one message in either direction.
type ByteCounter func(address, method string, bytes int)

// countingConn counts the messages of the calls on a connection.
type countingConn struct {
	drpc.Conn
	address string
	count   ByteCounter
}

// Invoke makes a call with one message in each direction.
func (c *countingConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if err := c.Conn.Invoke(ctx, rpc, c.counted(rpc, enc), in, out); err != nil {
		return fmt.Errorf("calling %s: %w", rpc, err)
	}
	return nil
}

// NewStream makes a call with any number of messages in each direction.
func (c *countingConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", rpc, err)
	}
	return &countingStream{Stream: stream, encoding: c.counted(rpc, enc)}, nil
}

func (c *countingConn) counted(rpc string, enc drpc.Encoding) drpc.Encoding {
	return &countingEncoding{Encoding: enc, count: func(bytes int) { c.count(c.address, path.Base(rpc), bytes) }}
}

// countingStream passes messages through a counting encoding. Generated code names
// the encoding at each message, so the stream replaces it.
type countingStream struct {
	drpc.Stream
	encoding drpc.Encoding
}

// MsgSend sends a message.
func (s *countingStream) MsgSend(message drpc.Message, _ drpc.Encoding) error {
	return s.Stream.MsgSend(message, s.encoding) //nolint:wrapcheck // Callers compare the stream's own errors.
}

// MsgRecv receives a message.
func (s *countingStream) MsgRecv(message drpc.Message, _ drpc.Encoding) error {
	return s.Stream.MsgRecv(message, s.encoding) //nolint:wrapcheck // Callers compare the stream's own errors.
}

// countingEncoding reports the length of each encoded or decoded message.
type countingEncoding struct {
	drpc.Encoding
	count func(bytes int)
}

// Marshal encodes a message.
func (e *countingEncoding) Marshal(message drpc.Message) ([]byte, error) {
	text, err := e.Encoding.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding a message: %w", err)
	}
	e.count(len(text))
	return text, nil
}

// MarshalAppend appends an encoded message to a buffer.
func (e *countingEncoding) MarshalAppend(buffer []byte, message drpc.Message) ([]byte, error) {
	text, err := drpcenc.MarshalAppend(message, e.Encoding, buffer)
	if err != nil {
		return nil, fmt.Errorf("encoding a message: %w", err)
	}
	e.count(len(text) - len(buffer))
	return text, nil
}

// Unmarshal decodes a message.
func (e *countingEncoding) Unmarshal(text []byte, message drpc.Message) error {
	e.count(len(text))
	if err := e.Encoding.Unmarshal(text, message); err != nil {
		return fmt.Errorf("decoding a message: %w", err)
	}
	return nil
}
