package peer

import (
	"crypto/tls"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
)

// Defaults of Options and timings of a connection.
const (
	// DefaultRequestsPerSecond is the rate of requests accepted on one connection.
	DefaultRequestsPerSecond = 5000
	// DefaultMaxInProgress is the number of requests of one peer that run at a time.
	DefaultMaxInProgress = 1024
	// floodFactor is how many times the accepted rate a peer may send before it
	// is cut: below that, each excess request is answered with overloaded.
	floodFactor = 4

	dialTimeout  = time.Second
	writeTimeout = 5 * time.Second
	// idleTimeout closes a connection that carries no frame.
	idleTimeout = time.Minute
	// probeAfter is how long a peer with open calls may be silent before it is
	// pinged; probeTimeout is how long the pong may take. Together they bound the
	// time until calls over a cut link fail, as no packet announces such a cut.
	probeAfter   = time.Second
	probeTimeout = 2 * time.Second

	minBackoff = 100 * time.Millisecond
	// maxBackoff is short because a VM that returns at its old address must be
	// reached again within the takeover time.
	maxBackoff = 2 * time.Second

	// sendQueue is the number of encoded frames that may wait for the socket.
	sendQueue = 64
)

// Options configures a Node.
type Options struct {
	// Address is this VM's own peer address, host:port. Peers are told it, so
	// that they call back over the same connection.
	Address string
	// Token authenticates peers. An empty token accepts none by token.
	Token string
	// TLS makes connections use TLS. With ClientCAs set, a peer with a verified
	// client certificate needs no token.
	TLS *tls.Config
	// MaxFrame bounds a frame in bytes; 0 means MaxFrameBytes.
	MaxFrame int
	// RequestsPerSecond bounds the requests accepted on one connection; 0 means
	// DefaultRequestsPerSecond.
	RequestsPerSecond float64
	// MaxInProgress bounds the requests of one connection that run at a time; 0
	// means DefaultMaxInProgress.
	MaxInProgress int
	// Registerer takes the metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
	Log        logr.Logger
}

func (o Options) withDefaults() Options {
	if o.MaxFrame <= 0 {
		o.MaxFrame = MaxFrameBytes
	}
	if o.RequestsPerSecond <= 0 {
		o.RequestsPerSecond = DefaultRequestsPerSecond
	}
	if o.MaxInProgress <= 0 {
		o.MaxInProgress = DefaultMaxInProgress
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	return o
}
