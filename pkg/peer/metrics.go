package peer

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus metrics of a Node.
type metrics struct {
	sent, received prometheus.Counter
	requests       *prometheus.CounterVec
	connections    prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "carawayusher_peer_bytes_total",
		Help: "Bytes of frames exchanged with other VMs, by direction.",
	}, []string{"direction"})
	m := &metrics{
		sent:     bytes.WithLabelValues("sent"),
		received: bytes.WithLabelValues("received"),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "carawayusher_peer_requests_total",
			Help: "Requests received from other VMs, by outcome (ok or error kind).",
		}, []string{"outcome"}),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "carawayusher_peer_connections",
			Help: "Open connections to other VMs.",
		}),
	}
	if reg != nil {
		reg.MustRegister(bytes, m.requests, m.connections)
	}
	return m
}
