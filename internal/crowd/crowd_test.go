// Package crowd plays crowds of clients that do not behave against processes of the system.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// bodyCrowd is the number of clients with bodies, bodyFDs the limit of descriptors that lets all of them connect. Their bodies together are
	// three times the memory of the process.
	bodyCrowd, bodyFDs = 300, 1024
	// connectionCrowd is the number of clients that only connect, connectionFDs the limit of descriptors, which is below it.
	connectionCrowd, connectionFDs = 600, 512
	// overlongCrowd is the number of clients with bodies over the limit.
	overlongCrowd = 60
	// finishing of so many clients, one sends its body to the end.
	finishing = 10
	// reconnectPause is the pause before a client that was refused or closed connects again.
	reconnectPause = 500 * time.Millisecond
	// settleTimeout bounds the time until all clients have stalled, or were refused or closed once.
	settleTimeout = 60 * time.Second
	// pieceBytes and piecePause are the pieces of a body that is sent piece by piece. Its last bytes come one at a time, with dribblePause.
	pieceBytes, piecePause, dribblePause = 16 << 10, 5 * time.Millisecond, 200 * time.Millisecond
	// smallChunks is the number of chunks of one byte each in a body.
	smallChunks = 128 << 10
)

// behavior sends what one client sends. It returns an error once the connection is closed.
type behavior func(ctx context.Context, w io.Writer, finish bool) error

// gather lets clients connect to an address, each again whenever it is closed, until the test ends. It returns when the crowd is in place.
func gather(t *testing.T, address string, size int, behave behavior) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var clients, settled sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		clients.Wait()
	})
	for i := range size {
		settled.Add(1)
		clients.Go(func() {
			once := sync.OnceFunc(settled.Done)
			defer once()
			for ctx.Err() == nil {
				// A client that is closed is one of the allowed outcomes.
				_ = play(ctx, address, i%finishing == 0, behave, once)
				once()
				select {
				case <-time.After(reconnectPause):
				case <-ctx.Done():
				}
			}
		})
	}
	inPlace := make(chan struct{})
	go func() {
		settled.Wait()
		close(inPlace)
	}()
	select {
	case <-inPlace:
	case <-time.After(settleTimeout):
		t.Log("the crowd is not in place: some clients neither stalled nor were closed")
	}
}

// play is one connection of a client. It lasts until the connection is closed.
func play(ctx context.Context, address string, finish bool, behave behavior, stalled func()) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	unregister := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer unregister()
	closed := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, conn)
		// Ends the writes of a client that was refused.
		_ = conn.Close()
		closed <- err
	}()
	if err := behave(ctx, conn, finish); err != nil {
		return err
	}
	stalled()
	return <-closed
}

// head returns the head of a request with a header line for its body.
func (p *process) head(framing string) []byte {
	text := "POST " + p.path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd\r\n"
	for name, value := range p.header {
		text += name + ": " + value + "\r\n"
	}
	return []byte(text + framing + "\r\n\r\n")
}

// whole sends a body of the largest legal size at once, up to its last bytes.
func (p *process) whole() behavior {
	head, body := p.head(fmt.Sprintf("Content-Length: %d", bodyLimit)), make([]byte, bodyLimit)
	return func(_ context.Context, w io.Writer, finish bool) error { return sendParts(w, finish, head, body) }
}

// pieces sends such a body piece by piece.
func (p *process) pieces() behavior {
	head, body := p.head(fmt.Sprintf("Content-Length: %d", bodyLimit)), make([]byte, bodyLimit)
	return func(ctx context.Context, w io.Writer, finish bool) error {
		const dribbled = 1 << 10
		if _, err := w.Write(head); err != nil {
			return err
		}
		rest := body
		for len(rest) > dribbled {
			n := min(pieceBytes, len(rest)-dribbled)
			if _, err := w.Write(rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
			pause(ctx, piecePause)
		}
		if finish {
			_, err := w.Write(rest)
			return err
		}
		go func() {
			for len(rest) > 1 && ctx.Err() == nil {
				if _, err := w.Write(rest[:1]); err != nil {
					return
				}
				rest = rest[1:]
				pause(ctx, dribblePause)
			}
		}()
		return nil
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// chunked sends a body in a number of chunks of a size.
func (p *process) chunked(count, size int) behavior {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size))
	head, body := p.head("Transfer-Encoding: chunked"), []byte(strings.Repeat(chunk, count)+"0\r\n\r\n")
	return func(_ context.Context, w io.Writer, finish bool) error { return sendParts(w, finish, head, body) }
}

// sendParts sends a request but for the last bytes of its body, or all of it.
func sendParts(w io.Writer, finish bool, head, body []byte) error {
	const missing = 8
	if !finish {
		body = body[:len(body)-missing]
	}
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// endless sends a body until the connection is closed.
func (p *process) endless(framing string, part []byte) behavior {
	head := p.head(framing)
	return func(_ context.Context, w io.Writer, _ bool) error {
		_, err := w.Write(head)
		for err == nil {
			_, err = w.Write(part)
		}
		return err
	}
}

func silent(context.Context, io.Writer, bool) error { return nil }

// halfHead sends a part of a request's head.
func halfHead(_ context.Context, w io.Writer, _ bool) error {
	_, err := io.WriteString(w, "POST /status/1 HTTP/1.1\r\nHost: a.exa")
	return err
}

// eachProgram runs a test with each program of the system, one after the other.
func eachProgram(t *testing.T, maxFDs int, test func(t *testing.T, start func(*testing.T) *process)) {
	t.Run("route", func(t *testing.T) {
		test(t, func(t *testing.T) *process { return startRoute(t, maxFDs) })
	})
	t.Run("run", func(t *testing.T) {
		test(t, func(t *testing.T) *process { return startRun(t, maxFDs) })
	})
}

// Guards against bodies that stop short of their end and take the memory of a process, or of all other callers.
func TestStalledBodies(t *testing.T) {
	eachProgram(t, bodyFDs, func(t *testing.T, start func(*testing.T) *process) {
		for name, behave := range map[string]func(*process) behavior{
			"whole": (*process).whole, "pieces": (*process).pieces,
			"large_chunks": func(p *process) behavior { return p.chunked(4, bodyLimit/4) },
			"small_chunks": func(p *process) behavior { return p.chunked(smallChunks, 1) },
		} {
			t.Run(name, func(t *testing.T) {
				p := start(t)
				gather(t, p.callers, bodyCrowd, behave(p))
				p.check("callers")
			})
		}
	})
}

// Guards against bodies over the limit that are read without bound.
func TestBodiesOverTheLimit(t *testing.T) {
	eachProgram(t, bodyFDs, func(t *testing.T, start func(*testing.T) *process) {
		part := bytes.Repeat([]byte("b"), 64<<10)
		for name, behave := range map[string]func(*process) behavior{
			"announced": func(p *process) behavior { return p.endless("Content-Length: 1099511627776", part) },
			"endless": func(p *process) behavior {
				return p.endless("Transfer-Encoding: chunked", fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part))
			},
			"stalled": func(p *process) behavior {
				head := p.head("Content-Length: 1099511627776")
				return func(_ context.Context, w io.Writer, _ bool) error { return sendParts(w, true, head, part) }
			},
		} {
			t.Run(name, func(t *testing.T) {
				p := start(t)
				gather(t, p.callers, overlongCrowd, behave(p))
				p.check("callers")
			})
		}
	})
}

// Guards against connections without a request that take all descriptors of a process.
func TestConnectionsWithoutRequest(t *testing.T) {
	eachProgram(t, connectionFDs, func(t *testing.T, start func(*testing.T) *process) {
		listeners := []string{"callers", "peers", "ready"}
		if strings.HasSuffix(t.Name(), "/run") {
			listeners = []string{"callers", "peers", "admin"}
		}
		for _, listener := range listeners {
			for name, behave := range map[string]behavior{"silent": silent, "half_head": halfHead} {
				t.Run(listener+"/"+name, func(t *testing.T) {
					p := start(t)
					gather(t, p.listeners[listener], connectionCrowd, behave)
					p.check(listener)
				})
			}
		}
	})
}

// Guards against limits that a single caller within the limits meets.
func TestLargestBodyInCalm(t *testing.T) {
	eachProgram(t, bodyFDs, func(t *testing.T, start func(*testing.T) *process) {
		p := start(t)
		body := bytes.Repeat([]byte("b"), bodyLimit)
		for name, size := range map[string]int64{"whole": bodyLimit, "pieces": bodyLimit, "chunked": -1} {
			t.Run(name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				var in io.Reader = bytes.NewReader(body)
				if name != "whole" {
					in = &slowReader{in: in, dribbles: name == "pieces"}
				}
				r, err := p.request(ctx, in, size)
				if err != nil {
					t.Fatal(err)
				}
				if status, _, err := send(ctx, r); err != nil || status != 200 {
					t.Errorf("status %d, error %v, want 200\n%s", status, err, p.output.tail())
				}
			})
		}
	})
}

// slowReader returns the content of a reader in pieces, with pauses if it dribbles.
type slowReader struct {
	in       io.Reader
	dribbles bool
}

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	if s.dribbles {
		time.Sleep(piecePause)
	}
	return s.in.Read(b[:min(len(b), pieceBytes)])
}
