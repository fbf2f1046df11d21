package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/tenant"
)

const (
	// callersPerVM is how many callers keep a connection to each VM.
	callersPerVM = 2
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 120 * time.Millisecond
	// callerPatience is how long a caller waits.
	callerPatience = 4 * time.Second
	writeShare     = 0.4
	bodyBytes      = 3000
)

// load runs callers against all VMs until the context ends.
func (f *fleet) load(ctx context.Context) {
	var callers sync.WaitGroup
	for _, v := range f.vms {
		for n := range callersPerVM {
			callers.Add(1)
			go func() {
				defer callers.Done()
				f.call(ctx, v, n)
			}()
		}
	}
	callers.Wait()
}

// call is one caller. It uses its connection until that ends.
func (f *fleet) call(ctx context.Context, v *vm, number int) {
	var conn net.Conn
	var in *bufio.Reader
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * thinkTime))))
		if conn == nil {
			opened, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", v.ip, callerPort), time.Second)
			if err != nil {
				continue
			}
			conn, in = opened, bufio.NewReader(opened)
		}
		if f.exchange(v, conn, in, fmt.Sprintf("%d-%d-%d", v.index, number, count)) {
			continue
		}
		_ = conn.Close()
		conn = nil
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// exchange sends one request and returns whether the connection can be used again.
func (f *fleet) exchange(v *vm, conn net.Conn, in *bufio.Reader, id string) bool {
	got := answer{ID: id, VM: v.index, Path: "/read/a", Repeat: true, Sent: time.Now()}
	method, body := http.MethodGet, ""
	switch draw := rand.Float64(); {
	case draw < versionShare:
		got.Path = f.newestPath()
	case draw < versionShare+writeShare:
		got.Path, got.Repeat = "/write/a", false
		method, body = http.MethodPost, strings.Repeat("x", bodyBytes)
	}
	_ = conn.SetDeadline(time.Now().Add(callerPatience + time.Second))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: soak\r\nFoxtailhall-Request-Id: %s\r\nFoxtailhall-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, got.Path, id, callerPatience.Milliseconds(), len(body), body)
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(in, nil)
	got.Ended = time.Now()
	if err != nil {
		f.ledger.answered(got)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	got.Status = response.StatusCode
	got.Complete = err == nil
	got.Proven = response.Header.Get("Foxtailhall-Response-Seal") == tenant.Seal(id)
	got.Whole = string(text) == tenant.Body(id, len(body))
	f.ledger.answered(got)
	return err == nil && !response.Close
}
