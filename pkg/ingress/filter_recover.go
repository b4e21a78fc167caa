package ingress

import (
	"runtime/debug"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// recoverPanic converts a panic in a later filter or handler to an internal
// error. Whether the job ran is unknown in that case.
func (in *Ingress) recoverPanic(c *gin.Context) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		in.Log.Error(errors.Errorf("panic: %v", reason), "request handler panicked",
			"requestId", callOf(c).requestID, "stack", string(debug.Stack()))
		if c.Writer.Written() {
			c.Abort()
			return
		}
		in.fail(c, errkind.New(errkind.Internal, "unexpected error"))
	}()
	c.Next()
}
