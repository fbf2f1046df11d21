package framer_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/framer"
	"github.com/foxtailhall/foxtailhall/transport/reader"
)

const chunkedText = "3\r\nabc\r\n00A;x=y\r\n0123456789\r\n0\r\nSum: 1\r\n\r\n"

func TestChunks(t *testing.T) {
	for name, source := range map[string]io.Reader{
		"AtOnce":     strings.NewReader(chunkedText + "next"),
		"ByteByByte": iotest.OneByteReader(strings.NewReader(chunkedText + "next")),
	} {
		t.Run(name, func(t *testing.T) {
			in := reader.New(source, limit)
			got, err := io.ReadAll(framer.NewChunks(in))
			require.NoError(t, err)
			require.Equal(t, "abc0123456789", string(got))
			rest, err := io.ReadAll(in.Reader)
			require.NoError(t, err)
			require.Equal(t, "next", string(rest))
		})
	}
	t.Run("OneReadTakesAllThatHasArrived", func(t *testing.T) {
		in := reader.New(strings.NewReader(strings.Repeat("1\r\nx\r\n", 100)+"0\r\n\r\n"), limit)
		n, err := framer.NewChunks(in).Read(make([]byte, limit))
		require.Equal(t, 100, n)
		require.Equal(t, io.EOF, err)
	})
	t.Run("DataIsNotHeldBack", func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		require.NoError(t, near.SetReadDeadline(time.Now().Add(5*time.Second)))
		for _, sent := range []string{"3\r\nabc", "3\r\nabc\r\n", "3\r\nabc\r\n0", "3\r\nabc\r\n0\r\nSum: 1\r\n"} {
			in := reader.New(near, limit)
			go func() { _, _ = io.WriteString(far, sent) }()
			n, err := framer.NewChunks(in).Read(make([]byte, limit))
			require.NoError(t, err, sent)
			require.Equal(t, 3, n, sent)
		}
	})
	t.Run("CutAnywhereIsNotWhole", func(t *testing.T) {
		for cut := range len(chunkedText) {
			_, err := io.ReadAll(framer.NewChunks(reader.New(strings.NewReader(chunkedText[:cut]), limit)))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "cut after %q", chunkedText[:cut])
		}
	})
	t.Run("TrailerTooLong", func(t *testing.T) {
		in := reader.New(strings.NewReader("0\r\n"+strings.Repeat("A: b\r\n", limit)), limit)
		_, err := io.ReadAll(framer.NewChunks(in))
		require.ErrorIs(t, err, framer.ErrTrailerTooLong)
	})
}
