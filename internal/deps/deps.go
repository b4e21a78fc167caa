//go:build deps

// Package deps keeps the modules of the design page in go.mod until the
// packages that use them exist, so that branches do not conflict over it.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/coder/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/gin-gonic/gin"
	_ "github.com/go-logr/logr"
	_ "github.com/go-logr/zapr"
	_ "github.com/google/btree"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/uuid"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/spf13/cobra"
	_ "go.uber.org/fx"
	_ "go.uber.org/fx/fxtest"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/draw"
	_ "pgregory.net/rapid"
)
