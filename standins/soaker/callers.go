package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/responder"
	"github.com/foxtailhall/foxtailhall/transport/framer"
	"github.com/foxtailhall/foxtailhall/transport/reader"
)

const (
	// callersPerVM is the number of callers per VM, each with one connection.
	callersPerVM = 2
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 120 * time.Millisecond
	// callerTimeout is the deadline that a caller sends with each request. The caller
	// itself waits a second longer.
	callerTimeout = 4 * time.Second
	// writeShare is the share of non-idempotent requests.
	writeShare     = 0.4
	writeBodyBytes = 3000
	// callShare is the share of executed requests during which the server sends one itself. callMark is part of the
	// IDs of such calls, and callPath their route. sharedCallShare of them go to a route that callers use as well.
	callShare       = 0.05
	callMark        = "-call"
	callPath        = "/call/a"
	sharedCallShare = 0.5
	readPath        = "/read/a"
)

// runCallers runs callers against all VMs until the context is cancelled.
func (f *fleet) runCallers(ctx context.Context) {
	var callers sync.WaitGroup
	for _, v := range f.vms {
		for n := range callersPerVM {
			callers.Add(1)
			go func() {
				defer callers.Done()
				f.runCaller(ctx, v, n)
			}()
		}
	}
	callers.Wait()
}

// runCaller sends requests to one VM until the context is cancelled. It reuses its
// connection and opens a new one when that one is closed.
func (f *fleet) runCaller(ctx context.Context, v *vm, number int) {
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

// exchange sends one request, records its answer, and reports whether the
// connection can be reused.
func (f *fleet) exchange(v *vm, conn net.Conn, in *bufio.Reader, id string) bool {
	got := answer{ID: id, VM: v.index, Path: readPath, Idempotent: true, Credential: f.drawCredential()}
	method, body := http.MethodGet, ""
	switch draw := rand.Float64(); {
	case draw < versionShare:
		got.Path = f.versionPathOf(0)
	case draw < versionShare+recentShare:
		got.Path = f.versionPathOf(rand.IntN(recentVersions))
	case draw < versionShare+recentShare+publicShare:
		got.Path, got.Credential = publicPath, credential{lasting: true}
	case draw < versionShare+recentShare+publicShare+writeShare:
		got.Path, got.Idempotent = "/write/a", false
		method, body = http.MethodPost, strings.Repeat("x", writeBodyBytes)
	}
	return f.send(conn, in, got, method, body)
}

// call sends a request of a VM's backend server while that runs another one. Calls carry no key.
func (f *fleet) call(v *vm, parent string) {
	if !f.options.Calls || strings.Contains(parent, callMark) || rand.Float64() >= callShare {
		return
	}
	f.calls.Add(1)
	defer f.calls.Done()
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(v.ip)}}
	conn, err := dialer.Dial("tcp", net.JoinHostPort(v.ip, strconv.Itoa(callerPort)))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	got := answer{
		ID: fmt.Sprintf("%s%s%d", parent, callMark, f.callCount.Add(1)), VM: v.index, Path: callPath, Idempotent: true,
		Credential: credential{lasting: true},
	}
	if rand.Float64() < sharedCallShare {
		got.Path = readPath
	}
	f.send(conn, bufio.NewReader(conn), got, http.MethodGet, "")
}

// send sends one request, records its answer, and reports whether the connection can
// be reused.
func (f *fleet) send(conn net.Conn, in *bufio.Reader, got answer, method, body string) bool {
	got.Sent = time.Now()
	_ = conn.SetDeadline(got.Sent.Add(callerTimeout + time.Second))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: soak\r\nFoxtailhall-Request-Id: %s\r\nFoxtailhall-Deadline-Ms: %d\r\n"+
		"%sContent-Length: %d\r\n\r\n%s", method, got.Path, got.ID, callerTimeout.Milliseconds(), got.Credential.headers(),
		len(body), body)
	if err != nil {
		return false
	}
	_, err = framer.PeekAnswer(&reader.Reader{Reader: in}, in.Size(), nil)
	if errors.Is(err, framer.ErrMalformed) || errors.Is(err, framer.ErrHeadTooLong) {
		f.checker.addViolation("SoundHead", fmt.Sprintf("%s: %v", got.ID, err))
	}
	response, err := http.ReadResponse(in, nil)
	got.Ended = time.Now()
	if err != nil {
		f.checker.recordAnswer(got)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	got.Status = response.StatusCode
	got.BodyRead = err == nil
	got.SealMatches = response.Header.Get("Foxtailhall-Response-Seal") == responder.Seal(got.ID)
	got.Server = response.Header.Get(responder.HeaderAnsweredBy)
	got.SaysLeaving = response.Header.Get(responder.HeaderLeaving) != ""
	got.Garbled = response.Header.Get(responder.HeaderGarbled) != ""
	got.KeyShown = strings.Contains(fmt.Sprint(response.Header, string(text)), responder.KeyPrefix)
	got.BodyMatches = string(text) == responder.Body(got.ID, len(body))
	f.checker.recordAnswer(got)
	return err == nil && !response.Close
}
