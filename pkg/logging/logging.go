// Package logging makes the logger of a process: logr in front of zap, which
// writes JSON or console lines.
package logging

import (
	"io"
	"os"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Options choose the level, the form and the destination of log lines.
type Options struct {
	Level  string    // error, info, debug (V(1)) or trace (V(2)); empty means info
	Format string    // json or console; empty means json
	Writer io.Writer // nil means standard error
}

// zapr maps V(n) to zap's level -n.
var levels = map[string]zapcore.Level{
	"":      zapcore.InfoLevel,
	"error": zapcore.ErrorLevel,
	"info":  zapcore.InfoLevel,
	"debug": zapcore.DebugLevel,
	"trace": zapcore.DebugLevel - 1,
}

// New returns a logger and a function that writes out what is buffered. An
// unknown level or format yields kind invalid_config.
func New(o Options) (log logr.Logger, flush func() error, err error) {
	level, ok := levels[o.Level]
	if !ok {
		return logr.Discard(), nil, errkind.New(errkind.InvalidConfig, "log level %q is not error, info, debug or trace", o.Level)
	}
	encoder, err := newEncoder(o.Format)
	if err != nil {
		return logr.Discard(), nil, err
	}
	if o.Writer == nil {
		o.Writer = os.Stderr
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(o.Writer)), level)
	z := zap.New(core, zap.AddCaller())
	return zapr.NewLogger(z), z.Sync, nil
}

func newEncoder(format string) (zapcore.Encoder, error) {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.EncodeTime, c.EncodeDuration = "time", zapcore.RFC3339NanoTimeEncoder, zapcore.StringDurationEncoder
	c.EncodeLevel = encodeLevel
	switch format {
	case "", "json":
		return zapcore.NewJSONEncoder(c), nil
	case "console":
		return zapcore.NewConsoleEncoder(c), nil
	default:
		return nil, errkind.New(errkind.InvalidConfig, "log format %q is not json or console", format)
	}
}

// encodeLevel names the levels below debug, which zap prints as numbers.
func encodeLevel(l zapcore.Level, enc zapcore.PrimitiveArrayEncoder) {
	if l < zapcore.DebugLevel {
		enc.AppendString("trace")
		return
	}
	zapcore.LowercaseLevelEncoder(l, enc)
}
