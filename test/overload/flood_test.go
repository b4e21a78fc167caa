package overload_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Figures of the sets of connections. They were fixed together with the bounds on the code
// without limits, and stay as they are.
const (
	// bodyBytes is the largest body that a client inside the limits sends (max_body_bytes).
	bodyBytes = 262_144
	// headerBytes is the same of the headers (max_header_bytes).
	headerBytes = 16_384
	// manyConnections is the size of most sets; their bodies have 105 MB together.
	manyConnections = 400
	// idleConnections is more than the process may have descriptors.
	idleConnections = maxFiles + 100
	// oneByteChunks is the number of chunks of one byte on a connection.
	oneByteChunks = 40_000
	// pipelinedRequests is the number of requests on a connection without reading an answer.
	pipelinedRequests = 3_000
	// sendTime bounds the time that one connection tries to send, as the process may not read.
	sendTime = 4 * time.Second
)

// flood is a set of connections that stay open until it is closed.
type flood struct {
	address string
	count   int
	send    func(c net.Conn, n int) // its errors are those of connections that are closed

	mu    sync.Mutex
	conns []net.Conn
}

// run opens the connections and returns once all have sent what they can.
func (f *flood) run() {
	var wg sync.WaitGroup
	for n := range f.count {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", f.address, sendTime)
			if err != nil {
				return // refused by the process or its kernel
			}
			f.mu.Lock()
			f.conns = append(f.conns, c)
			f.mu.Unlock()
			tcp := c.(*net.TCPConn)
			_, _ = tcp.SetWriteBuffer(16<<10), tcp.SetReadBuffer(4<<10) // keep the memory of the test small
			_ = c.SetDeadline(time.Now().Add(sendTime))
			f.send(c, n)
		})
	}
	wg.Wait()
}

func (f *flood) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

var filling = bytes.Repeat([]byte("x"), bodyBytes)

// request returns the head of a submission. The place %d of its job ID is the number n.
func request(head string, n int, fields string) string {
	if strings.Contains(head, "%") {
		head = fmt.Sprintf(head, n)
	}
	return head + fields + "\r\n\r\n"
}

// wholeBodies sends each body at once, less its last byte.
func wholeBodies(head string) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		_, _ = c.Write([]byte(request(head, n, fmt.Sprintf("Content-Length: %d", bodyBytes))))
		_, _ = c.Write(filling[:bodyBytes-1])
	}
}

// bodiesInPieces sends each body in small pieces, less its last byte.
func bodiesInPieces(head string) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		_, _ = c.Write([]byte(request(head, n, fmt.Sprintf("Content-Length: %d", bodyBytes))))
		const piece = 8 << 10
		for sent := 0; sent < bodyBytes-1; sent += piece {
			if _, err := c.Write(filling[:min(piece, bodyBytes-1-sent)]); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// largeChunks sends chunks of 64 KiB without the last one.
func largeChunks(head string) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		_, _ = c.Write([]byte(request(head, n, "Transfer-Encoding: chunked")))
		const size = 64 << 10
		for sent := 0; sent < bodyBytes; sent += size {
			_, _ = fmt.Fprintf(c, "%x\r\n", size)
			if _, err := c.Write(filling[:min(size, bodyBytes-1-sent)]); err != nil {
				return
			}
			if sent+size < bodyBytes {
				_, _ = c.Write([]byte("\r\n"))
			}
		}
	}
}

// smallChunks sends chunks of one byte without the last one.
func smallChunks(head string) func(net.Conn, int) {
	chunks := bytes.Repeat([]byte("1\r\nx\r\n"), oneByteChunks)
	return func(c net.Conn, n int) {
		_, _ = c.Write([]byte(request(head, n, "Transfer-Encoding: chunked")))
		_, _ = c.Write(chunks)
	}
}

// openHeaders sends headers of nearly the largest size that do not end.
func openHeaders(head string) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		h := request(head, n, "X-Filling: ")
		h = strings.TrimSuffix(h, "\r\n\r\n")
		_, _ = c.Write([]byte(h))
		_, _ = c.Write(filling[:headerBytes-len(h)-1])
	}
}

// idle sends one whole request on every second connection, and nothing else.
func idle(head string) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		if n%2 == 0 {
			_, _ = c.Write([]byte(request(head, n, "X-Idle: 1")))
		}
	}
}

// pipelined sends many requests and reads no answer.
func pipelined(head string) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		_, _ = c.Write(bytes.Repeat([]byte(request(head, n, "X-Pipelined: 1")), pipelinedRequests))
	}
}
