package peer

import (
	"crypto/tls"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
)

// Defaults of Options, and the timeouts and limits of a connection.
const (
	// DefaultRequestsPerSecond is the default limit of Options.RequestsPerSecond.
	DefaultRequestsPerSecond = 5000
	// DefaultMaxInProgress is the default limit of Options.MaxInProgress.
	DefaultMaxInProgress = 1024
	// floodFactor times RequestsPerSecond is the request rate above which the
	// connection is closed. Excess requests below it are answered with overloaded.
	floodFactor = 4

	dialTimeout  = time.Second
	writeTimeout = 5 * time.Second
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = time.Minute
	// readIdleTimeout is how long a connection with pending calls may receive no
	// frame before the peer is pinged; pingTimeout is how long the pong may take.
	// Together they bound the time until calls fail on a link that drops all
	// packets, as no FIN or RST reports such a failure.
	readIdleTimeout = time.Second
	pingTimeout     = 2 * time.Second

	// minReplaceInterval is the minimum time between two replacements of a connection to a
	// peer that does not answer.
	minReplaceInterval = time.Second

	minBackoff = 100 * time.Millisecond
	// maxBackoff is short because a VM that restarts at its previous address must
	// be reached again within the takeover time.
	maxBackoff = 2 * time.Second

	// sendQueueFrames is the number of encoded frames of a connection that may wait to
	// be written.
	sendQueueFrames = 64
)

// Options configures a Node.
type Options struct {
	// Address is the peer address of this VM, host:port. It is sent to peers when
	// dialing, so that they use the same connection for their own calls.
	Address string
	// Token is the shared secret of all VMs. If it is empty, no peer can
	// authenticate by token.
	Token string
	// TLS enables TLS if it isn't nil. A peer whose client certificate was verified
	// against ClientCAs needs no token.
	TLS *tls.Config
	// MaxFrame is the maximum size of a frame in bytes; 0 means MaxFrameBytes.
	MaxFrame int
	// RequestsPerSecond limits the requests accepted on one connection; 0 means
	// DefaultRequestsPerSecond.
	RequestsPerSecond float64
	// MaxInProgress limits the concurrent requests received on one connection; 0
	// means DefaultMaxInProgress.
	MaxInProgress int
	// Registerer registers the metrics; if it is nil, they are not registered.
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
