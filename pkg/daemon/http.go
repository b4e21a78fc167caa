package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/ingress"
	"github.com/carawayusher/carawayusher/pkg/settings"
)

// Limits of the HTTP servers against slow or idle clients.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// maxStreams and streamBuffer bound what an HTTP/2 connection holds beside the bodies that
	// are charged to the budget of the process.
	maxStreams   = 32
	streamBuffer = 64 << 10
)

// callersHandler joins the callers' and the operators' interfaces with the
// health and metrics routes.
func (d *parts) callersHandler(ready func() bool) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.HandleMethodNotAllowed = true
	r.NoRoute(ingress.NoRoute)
	r.NoMethod(ingress.NoMethod)
	d.ingress.Register(r)
	d.admin.Register(r)
	r.GET("/metrics", gin.WrapH(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})))
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", func(c *gin.Context) {
		if !ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	return r
}

func newServer(h http.Handler, t *tls.Config) *http.Server {
	return &http.Server{
		Handler: h, TLSConfig: t, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: streamBuffer, MaxReceiveBufferPerStream: streamBuffer},
	}
}

// serverTLS loads the certificates that the settings name; nil means plain TCP.
func serverTLS(s settings.TLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "tls.certificate and tls.key")
	}
	c := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if s.ClientCA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(s.ClientCA)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "tls.client_ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errkind.New(errkind.InvalidConfig, "tls.client_ca %s holds no certificate", s.ClientCA)
	}
	c.ClientCAs, c.RootCAs = pool, pool
	c.ClientAuth = tls.VerifyClientCertIfGiven
	return c, nil
}
