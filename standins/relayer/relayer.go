// Package relayer is a small TCP relay that can swallow what one side sends to
// the other, in one direction only.
package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Cut is a pair of IP numbers whose traffic from one to the other is swallowed.
type Cut struct {
	From string
	To   string
}

// Relayer relays between one listening address and one target.
type Relayer struct {
	listen string
	target string

	mu   sync.Mutex
	cuts map[Cut]bool
	// open holds both ends of all live connections.
	open map[net.Conn]struct{}
	// delay holds up each piece.
	delay time.Duration
}

// New returns a relay without cuts.
func New(listen, target string) *Relayer {
	return &Relayer{listen: listen, target: target, cuts: map[Cut]bool{}, open: map[net.Conn]struct{}{}}
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

// Control takes commands on an address: a line "cut FROM TO" or "heal FROM TO"
// with IP numbers, answered by a line "ok".
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
		go r.obey(conn)
	}
}

func (r *Relayer) obey(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) != 3 {
			continue
		}
		r.Set(Cut{From: words[1], To: words[2]}, words[0] == "cut")
		_, _ = fmt.Fprintln(conn, "ok")
	}
}

// Set cuts or heals one direction.
func (r *Relayer) Set(cut Cut, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[cut] = on
}

// SetDelay holds up each piece of all traffic from now on.
func (r *Relayer) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Reset breaks all live connections.
func (r *Relayer) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (r *Relayer) note(conns ...net.Conn) (forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.open[conn] = struct{}{}
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, conn := range conns {
			delete(r.open, conn)
		}
	}
}

func (r *Relayer) pause() {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	time.Sleep(delay)
}

func (r *Relayer) cut(from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[Cut{From: from, To: to}] || r.cuts[Cut{From: "any", To: to}] || r.cuts[Cut{From: from, To: "any"}]
}

func (r *Relayer) relay(client net.Conn) {
	defer func() { _ = client.Close() }()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	defer r.note(client, target)()
	from, to := host(client.RemoteAddr()), host(target.RemoteAddr())
	done := make(chan struct{}, 2)
	go func() { r.pipe(target, client, from, to); done <- struct{}{} }()
	go func() { r.pipe(client, target, to, from); done <- struct{}{} }()
	<-done
}

func host(address net.Addr) string {
	ip, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return ip
}

const pieceBytes = 32 << 10

// pipe copies one direction. What comes while the direction is cut is lost, and
// so is the rest of the connection: TCP would never deliver what follows a gap.
func (r *Relayer) pipe(to io.Writer, from io.Reader, fromHost, toHost string) {
	buffer := make([]byte, pieceBytes)
	lost := false
	for {
		n, err := from.Read(buffer)
		r.pause()
		lost = lost || r.cut(fromHost, toHost)
		if n > 0 && !lost {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if lost {
				select {}
			}
			return
		}
	}
}
