package ingress

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
)

// ReservedPrefix is the prefix of headers that only the system itself may set.
const ReservedPrefix = "X-Carawayusher-"

// stripReserved removes reserved headers and trailers from client requests.
func stripReserved(c *gin.Context) {
	removeReserved(c.Request.Header)
	removeReserved(c.Request.Trailer)
	c.Next()
}

// removeReserved also removes names with underscores, because some proxies
// turn underscores into hyphens.
func removeReserved(h http.Header) {
	prefix := strings.ToLower(ReservedPrefix)
	for name := range h {
		if strings.HasPrefix(strings.ToLower(strings.ReplaceAll(name, "_", "-")), prefix) {
			delete(h, name)
		}
	}
}
