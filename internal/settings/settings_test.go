package settings

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

const valid = `{
"name": "tartu-1", "data_centre": "tartu",
"http_listen": "127.0.0.1:7411", "peer_listen": "127.0.0.1:7421",
"platform": "http://127.0.0.1:7400",
"seeds": {"tartu": ["127.0.0.1:7421"], "tc-dali": ["127.0.0.1:7451", "[::1]:7452"]},
"timing": {"lease": "2s"}, // the other timing fields keep their defaults
"limits": {"jobs": 10, "retry_percent": 0},
"http": {"max_connections": 100},
"log_level": "warn",
}`

// Overrides in the file take effect, and fields that the file omits keep their defaults.
func TestParseAppliesOverridesAndDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(valid))
	is.NoErr(err)
	c := s.CoreConfig("inc", 7)
	is.Equal(c.Self, model.Member{Name: "tartu-1", Incarnation: "inc", DataCentre: "tartu", Address: "127.0.0.1:7421"})
	is.Equal(c.Seed, uint64(7))
	is.Equal(c.SeedPeers["tc-dali"], []string{"127.0.0.1:7451", "[::1]:7452"})
	timing, limits, http := core.DefaultTiming(), core.DefaultLimits(), DefaultHTTP()
	timing.LeaseDuration, limits.Jobs, limits.RetryPercent, http.MaxConnections = 2*time.Second, 10, 0, 100
	is.Equal(c.Timing, timing)
	is.Equal(c.Limits, limits)
	is.Equal(s.HTTP, http)
	is.Equal(s.LogLevel, "warn")
}

// Invalid settings are rejected with exactly one error, at the right line and path.
func TestParseRejectsInvalidSettings(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		code           jsonc.Code
		line           int
		path           string
	}{
		{"missing name", `"name": "tartu-1", `, ``, jsonc.CodeMissing, 1, "$.name"},
		{"invalid data centre name", `"tartu",`, `"Tartu",`, jsonc.CodeBadName, 2, "$.data_centre"},
		{"host name instead of IP address", `"127.0.0.1:7411"`, `"localhost:7411"`, jsonc.CodeBadAddress, 3, "$.http_listen"},
		{"missing port", `"peer_listen": "127.0.0.1:7421"`, `"peer_listen": "127.0.0.1"`, jsonc.CodeBadAddress, 3, "$.peer_listen"},
		{"port 0", `"127.0.0.1:7411"`, `"127.0.0.1:0"`, jsonc.CodeBadAddress, 3, "$.http_listen"},
		{"unspecified peer address", `"peer_listen": "127.0.0.1:7421"`, `"peer_listen": "0.0.0.0:7421"`, jsonc.CodeBadAddress, 3, "$.peer_listen"},
		{"same address for HTTP and peers", `127.0.0.1:7411`, `127.0.0.1:7421`, jsonc.CodeDuplicate, 3, "$.peer_listen"},
		{"platform with host name", `http://127.0.0.1:7400`, `http://platform:7400`, jsonc.CodeBadAddress, 4, "$.platform"},
		{"platform without scheme", `http://127.0.0.1:7400`, `127.0.0.1:7400`, jsonc.CodeBadAddress, 4, "$.platform"},
		{"seed without port", `[::1]:7452`, `::1`, jsonc.CodeBadAddress, 5, `$.seeds["tc-dali"][1]`},
		{"unknown timing field", `"lease"`, `"leese"`, jsonc.CodeUnknownField, 6, "$.timing.leese"},
		{"duration given as a number", `"2s"`, `2`, jsonc.CodeWrongType, 6, "$.timing.lease"},
		{"zero duration", `"lease": "2s"`, `"retention": "0s"`, jsonc.CodeOutOfRange, 6, "$.timing.retention"},
		{"heartbeat too long for the default suspect timeout", `"lease": "2s"`, `"heartbeat": "450ms"`, jsonc.CodeOutOfRange, 6, "$.timing.heartbeat"},
		// The error is reported at watch_wait, which the file omits and which keeps its
		// default. Its line is therefore that of the timing object.
		{"task lease too short for the default watch wait", `"lease": "2s"`, `"task_lease": "5s"`, jsonc.CodeOutOfRange, 6, "$.timing.watch_wait"},
		{"job limit of zero", `"jobs": 10`, `"jobs": 0`, jsonc.CodeOutOfRange, 7, "$.limits.jobs"},
		{"retry percentage above 100", `"retry_percent": 0`, `"retry_percent": 101`, jsonc.CodeOutOfRange, 7, "$.limits.retry_percent"},
		{"connection limit of zero", `"max_connections": 100`, `"max_connections": 0`, jsonc.CodeOutOfRange, 8, "$.http.max_connections"},
		{"unknown log level", `"warn"`, `"loud"`, jsonc.CodeBadValue, 9, "$.log_level"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s, err := Parse([]byte(strings.Replace(valid, tc.old, tc.new, 1)))
			is.True(s == nil)
			var errs *Errors
			is.True(errors.As(err, &errs))
			is.Equal(errs.List[0].Message != "", true)
			is.Equal(len(errs.List), 1)
			is.Equal(errs.List[0].Code, tc.code)
			is.Equal(errs.List[0].Line, tc.line)
			is.Equal(errs.List[0].Path, tc.path)
		})
	}
}

// A missing file is an error, not empty settings.
func TestLoadMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	var read *ReadError
	is.True(errors.As(err, &read))
}
