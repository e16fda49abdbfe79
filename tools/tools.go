//go:build tools

// Package tools pins modules until their first import.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/uuid"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/matryer/is"
	_ "github.com/phuslu/log"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/tailscale/hujson"
	_ "github.com/urfave/cli/v3"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
