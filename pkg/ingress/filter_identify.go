package ingress

import (
	"regexp"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
)

// RequestIDHeader carries the request ID in requests and answers.
const RequestIDHeader = "X-Request-Id"

// requestIDPattern keeps a caller's request ID from forging log lines.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// identify takes the caller's request ID, or makes one, and repeats it in the
// answer.
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
