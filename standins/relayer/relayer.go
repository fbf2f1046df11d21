// Package relayer is a TCP relay that simulates network faults: it can drop traffic
// in one direction only, delay it, and reset or silence connections.
package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/muter"
)

// Cut is a pair of IP addresses between which traffic is dropped in one direction.
// Either address can be "any".
type Cut struct {
	From string
	To   string
}

// Relayer relays TCP connections from a listening address to a target. It is safe
// for concurrent use.
type Relayer struct {
	listen string
	target string

	mu   sync.Mutex
	cuts map[Cut]bool
	// connections holds both sockets of every open connection.
	connections map[net.Conn]struct{}
	// delay is the time for which everything read is held back.
	delay time.Duration
}

// New returns a relay between two addresses, each an IP:port, without cuts.
func New(listen, target string) *Relayer {
	return &Relayer{listen: listen, target: target, cuts: map[Cut]bool{}, connections: map[net.Conn]struct{}{}}
}

// Run relays until the listener fails.
func (r *Relayer) Run() error {
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return fmt.Errorf("accepting: %w", err)
		}
		go r.relay(conn)
	}
}

// Control accepts commands on an address until the listener fails. A command is
// a line "cut FROM TO" or "heal FROM TO" with IP addresses; the answer is a line "ok".
func (r *Relayer) Control(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for commands: %w", err)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return fmt.Errorf("accepting commands: %w", err)
		}
		go r.handleCommands(conn)
	}
}

// handleCommands executes the commands of one connection. Lines that do not consist
// of three words are ignored; any first word but "cut" removes the cut.
func (r *Relayer) handleCommands(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		arguments := strings.Fields(lines.Text())
		if len(arguments) != 3 {
			continue
		}
		r.SetCut(Cut{From: arguments[1], To: arguments[2]}, arguments[0] == "cut")
		_, _ = fmt.Fprintln(conn, "ok")
	}
}

// SetCut turns a cut on or off.
func (r *Relayer) SetCut(cut Cut, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[cut] = on
}

// SetDelay delays all further traffic in both directions.
func (r *Relayer) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Reset closes all open connections with a TCP reset.
func (r *Relayer) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Silence makes all open connections go silent: each end keeps its socket, but nothing
// arrives any more, and no reset. New connections work.
func (r *Relayer) Silence() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		if err := muter.Mute(conn); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("silencing a connection: %w", err)
		}
	}
	return nil
}

// track adds sockets to those that Reset and Silence affect. The returned function removes them.
func (r *Relayer) track(conns ...net.Conn) (untrack func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.connections[conn] = struct{}{}
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, conn := range conns {
			delete(r.connections, conn)
		}
	}
}

// applyDelay waits for the current delay.
func (r *Relayer) applyDelay() {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	time.Sleep(delay)
}

// isCut reports whether a cut applies to the traffic from one IP address to another.
func (r *Relayer) isCut(from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[Cut{From: from, To: to}] || r.cuts[Cut{From: "any", To: to}] || r.cuts[Cut{From: from, To: "any"}]
}

// relay connects a client to the target and copies both directions until one ends.
func (r *Relayer) relay(client net.Conn) {
	defer func() { _ = client.Close() }()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	defer r.track(client, target)()
	from, to := host(client.RemoteAddr()), host(target.RemoteAddr())
	done := make(chan struct{}, 2)
	go func() { r.pipe(target, client, from, to); done <- struct{}{} }()
	go func() { r.pipe(client, target, to, from); done <- struct{}{} }()
	<-done
}

// host returns the IP address of a network address.
func host(address net.Addr) string {
	ip, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return ip
}

// bufferBytes is the size of the copy buffer of one direction.
const bufferBytes = 32 << 10

// pipe copies one direction of a connection. Once the direction is cut, it discards
// everything up to the end of the connection, also after the cut is removed: TCP never
// delivers data that follows a gap. It then blocks forever, so that the end of the
// connection does not reach the other side either.
func (r *Relayer) pipe(to io.Writer, from io.Reader, fromHost, toHost string) {
	buffer := make([]byte, bufferBytes)
	discarding := false
	for {
		n, err := from.Read(buffer)
		r.applyDelay()
		discarding = discarding || r.isCut(fromHost, toHost)
		if n > 0 && !discarding {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if discarding {
				select {}
			}
			return
		}
	}
}
