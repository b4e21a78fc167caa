// Package logging creates the logger of a process: a logr.Logger backed by zap
// that writes JSON or console lines. AsyncWriter keeps a slow destination from
// blocking the process.
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

// Options select the level, format and destination of log lines.
type Options struct {
	Level  string    // error, info, debug (V(1)) or trace (V(2)); empty means info
	Format string    // json or console; empty means json
	Writer io.Writer // nil means standard error
}

// levels maps level names to zap levels; zapr logs V(n) at zap level -n.
var levels = map[string]zapcore.Level{
	"":      zapcore.InfoLevel,
	"error": zapcore.ErrorLevel,
	"info":  zapcore.InfoLevel,
	"debug": zapcore.DebugLevel,
	"trace": zapcore.DebugLevel - 1,
}

// New returns a logger and a function that flushes it. An unknown level or
// format returns an error of kind invalid_config.
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

// encodeLevel writes levels below debug as "trace"; zap has no name for them.
func encodeLevel(l zapcore.Level, enc zapcore.PrimitiveArrayEncoder) {
	if l < zapcore.DebugLevel {
		enc.AppendString("trace")
		return
	}
	zapcore.LowercaseLevelEncoder(l, enc)
}
