package runner

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

// largeText returns the text of a version with a number of routes, in the size and form that
// operators write.
func largeText(routes int) []byte {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // the text must repeat
	word := func() string { return fmt.Sprintf("%04x", random.IntN(1<<16)) }
	var text strings.Builder
	text.WriteString(`{"version":"0000000c","resources":[`)
	for i := range routes {
		if i > 0 {
			text.WriteString(",")
		}
		_, _ = fmt.Fprintf(&text, `{"entryType":"routes","metadata":{"name":"r-%s%s"},"spec":{"host":"%s.example",`+
			`"pathPrefix":"/%s%s/%s/","type":"idempotent","timeout":"6000ms","targetLatency":"5000ms","priority":1,`+
			`"service":"kacu8c","maxAttempts":3}}`, word(), word(), word(), word(), word(), word())
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}

// TestLargeVersionsFitSlowLinks guards against versions that are late because one process
// cannot send a large one to the others of its availability zone in time.
func TestLargeVersionsFitSlowLinks(t *testing.T) {
	const (
		routes = 1500
		// peers is the number of others for each of the three processes of a zone that have the
		// version first.
		peers = 10
		// linkBytes is what the slowest link carries in a second, 10 Mbit.
		linkBytes = 10_000_000 / 8
		// within is what remains of 2 s after the read of the store and the spread of the news.
		within = 500 * time.Millisecond
	)
	r := &Runner{deps: Dependencies{Source: &Source{}}}
	text := largeText(routes)
	r.sourceVersion.Store(newVersion(cataloger.New().WithVersion(12, "Store", -1), text))
	reply, err := r.configurationFor(&messenger.FetchRequest{Have: 11, Deflate: true})
	require.NoError(t, err)
	objects, err := objectsOf(reply)
	require.NoError(t, err)
	require.Equal(t, string(text), string(objects))
	require.LessOrEqual(t, peers*proto.Size(reply), int(linkBytes*within.Seconds()))
}
