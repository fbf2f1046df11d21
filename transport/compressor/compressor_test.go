package compressor_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/compressor"
)

func compress(t *testing.T, text string) []byte {
	t.Helper()
	compressed, err := compressor.Compress([]byte(text))
	require.NoError(t, err)
	return compressed
}

func TestCompress(t *testing.T) {
	text := strings.Repeat(`{"entryType":"routes"},`, 1000)
	t.Run("Whole", func(t *testing.T) {
		compressed := compress(t, text)
		require.Less(t, len(compressed), len(text)/10)
		got, err := compressor.Decompress(compressed, len(text))
		require.NoError(t, err)
		require.Equal(t, text, string(got))
	})
	t.Run("Empty", func(t *testing.T) {
		got, err := compressor.Decompress(compress(t, ""), 0)
		require.NoError(t, err)
		require.Empty(t, got)
	})
	t.Run("TooLong", func(t *testing.T) {
		_, err := compressor.Decompress(compress(t, text), len(text)-1)
		require.ErrorIs(t, err, compressor.ErrTooLong)
	})
	t.Run("Truncated", func(t *testing.T) {
		compressed := compress(t, text)
		_, err := compressor.Decompress(compressed[:len(compressed)-1], len(text))
		require.Error(t, err)
	})
}
