package cluster

import (
	"net"
	"net/http"
	"time"
)

// Bounds of the callers' connections: dialling a VM that is gone must not hold
// a call, and a load of some hundred callers should reuse connections.
const (
	dialTimeout    = time.Second
	idlePerVM      = 256
	idleConnection = 30 * time.Second
)

func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerVM,
		IdleConnTimeout:     idleConnection,
	}}
}
