package httplimit

import "github.com/prometheus/client_golang/prometheus"

// Reasons for which a body or a connection ends.
const (
	reasonBudget      = "body_budget" // the memory for bodies is used up
	reasonKey         = "caller"      // too many incomplete bodies of one caller
	reasonSlow        = "slow"        // below the minimum rate
	reasonStale       = "stale"       // incomplete or idle for longest, at the number of connections
	reasonUnread      = "unread"      // the client does not take its response
	reasonConnections = "connections" // a new one, as all others are being served
)

type metrics struct {
	registerer  prometheus.Registerer
	bodies      *prometheus.CounterVec
	connections *prometheus.CounterVec

	refusedCalls prometheus.Counter
}

func newMetrics(r prometheus.Registerer, inFlight func() float64) *metrics {
	m := &metrics{
		registerer: r,
		bodies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "carawayusher_client_bodies_ended_total", Help: "Incomplete request bodies that a limit has ended, by reason.",
		}, []string{"reason"}),
		connections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "carawayusher_client_connections_closed_total", Help: "Connections that were closed at the number of connections, by listener and reason.",
		}, []string{"listener", "reason"}),
		refusedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "carawayusher_client_calls_refused_total", Help: "Calls that were refused because too many others were being served.",
		}),
	}
	if r != nil {
		r.MustRegister(m.bodies, m.connections, m.refusedCalls, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "carawayusher_client_body_bytes", Help: "Memory charged for request bodies in flight, in bytes.",
		}, inFlight))
	}
	return m
}

// observe registers the number of connections of a listener.
func (m *metrics) observe(ln *Listener) {
	if m.registerer == nil {
		return
	}
	// A second listener of a class is not counted apart.
	_ = m.registerer.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "carawayusher_client_connections", Help: "Open connections by listener.", ConstLabels: prometheus.Labels{"listener": string(ln.class)},
	}, func() float64 {
		ln.limiter.mu.Lock()
		defer ln.limiter.mu.Unlock()
		return float64(len(ln.conns))
	}))
}
