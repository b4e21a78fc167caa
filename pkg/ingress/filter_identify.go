package ingress

import (
	"regexp"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
)

// RequestIDHeader carries the request ID in requests and responses.
const RequestIDHeader = "X-Request-Id"

// requestIDPattern limits the request IDs accepted from callers, so that they
// cannot forge log lines.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// identify uses the caller's request ID if it is valid, else generates one, and
// returns it in the response.
func (in *Ingress) identify(c *gin.Context) {
	c.Set(callKey, &call{requestID: requestID(c)})
	c.Next()
}

func requestID(c *gin.Context) string {
	id := c.GetHeader(RequestIDHeader)
	if !requestIDPattern.MatchString(id) {
		id = uuid.NewString()
	}
	c.Header(RequestIDHeader, id)
	return id
}
