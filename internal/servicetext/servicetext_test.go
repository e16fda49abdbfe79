package servicetext

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

// valid is a text with services of every class. Tests replace parts of it.
const valid = `{
"name": "shop", "data_centres": ["tartu", "voru"], // homes
"teams": [{"name": "ops", "quota": {"milli_cpu": 64000}}],
"worker_shapes": [{"milli_cpu": 16000, "memory_mb": 32768, "slots": 8, "connections": 64}],
"services": [
{"name": "store", "team": "ops", "class": "service", "instances": 3, "resources": {"milli_cpu": 500, "memory_mb": 512, "connections": 4}},
{"name": "clock", "team": "ops", "class": "service", "instances": 1, "singleton": true, "data_centres": ["voru"], "depends_on": ["store"], "resources": {"milli_cpu": 100, "memory_mb": 64}},
{"name": "book", "team": "ops", "class": "interactive", "idempotent": false, "deadline": "3s", "depends_on": ["store"], "on_dependency_down": "degrade", "resources": {"milli_cpu": 200, "memory_mb": 64}, "service_level": {"objective": 0.999, "latency": "500ms", "window": "720h"}},
{"name": "plan", "team": "ops", "class": "batch", "idempotent": true, "deadline": "8h", "max_attempts": 4, "max_run_time": "2h", "max_body_bytes": 4096, "resources": {"milli_cpu": 2000, "memory_mb": 2048}},
{"name": "sim", "team": "ops", "class": "gang", "idempotent": true, "deadline": "1h", "resources": {"milli_cpu": 4000, "memory_mb": 1024, "slots": 2}},
]}`

// Guards against fields that are lost or changed when a text is converted to the model.
func TestParse(t *testing.T) {
	is := is.New(t)
	text, err := Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(text.Name, "shop")
	is.Equal(text.DataCentres, []model.DataCentre{"tartu", "voru"})
	is.Equal(text.Teams, []model.Team{{Name: "ops", Quota: model.Resources{MilliCPU: 64000}}})
	is.Equal(*text.Service("book"), model.Service{
		Name: "book", Team: "ops", Class: model.ClassInteractive, DependsOn: []string{"store"},
		OnDependencyDown: model.DependencyDegrade, Resources: model.Resources{MilliCPU: 200, MemoryMB: 64, Slots: 1},
		Deadline: 3 * time.Second,
		Level:    &model.ServiceLevel{Objective: 0.999, Latency: 500 * time.Millisecond, Window: 720 * time.Hour},
	})
	is.Equal(*text.Service("plan"), model.Service{
		Name: "plan", Team: "ops", Class: model.ClassBatch, OnDependencyDown: model.DependencyHold, Idempotent: true,
		Resources: model.Resources{MilliCPU: 2000, MemoryMB: 2048, Slots: 1},
		Deadline:  8 * time.Hour, MaxRunTime: 2 * time.Hour, MaxAttempts: 4, MaxBodyBytes: 4096,
	})
	clock := text.Service("clock")
	is.Equal(clock.DataCentres, []model.DataCentre{"voru"})
	is.True(clock.Singleton && !clock.Idempotent && clock.Instances == 1)
	is.True(text.Service("store").Idempotent)
	is.Equal(Hash([]byte(valid)), Hash([]byte(valid)))
	is.True(Hash([]byte(valid)) != Hash([]byte(valid+" ")))
}

// Guards against an invalid text that is accepted, and against an error report
// with a wrong code, line or path, or with additional errors.
func TestParseErrors(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		code           jsonc.Code
		line           int
		path           string
	}{
		{"bad name", `"shop"`, `"Shop!"`, jsonc.CodeBadName, 2, "$.name"},
		{"missing name", `"name": "shop", `, ``, jsonc.CodeMissing, 1, "$.name"},
		{"duplicate data centre", `["tartu", "voru"]`, `["tartu", "voru", "tartu"]`, jsonc.CodeDuplicate, 2, "$.data_centres[2]"},
		{"slash in data centre", `["tartu", "voru"]`, `["tartu", "voru", "a/b"]`, jsonc.CodeBadName, 2, "$.data_centres[2]"},
		{"duplicate team", `"teams": [`, `"teams": [{"name": "ops"}, `, jsonc.CodeDuplicate, 3, "$.teams[1].name"},
		{"negative quota", `"quota": {`, `"quota": {"slots": -1, `, jsonc.CodeOutOfRange, 3, "$.teams[0].quota.slots"},
		{"worker shape without slots", `"slots": 8, `, ``, jsonc.CodeMissing, 4, "$.worker_shapes[0].slots"},
		{"duplicate service", `"plan"`, `"sim"`, jsonc.CodeDuplicate, 10, "$.services[4].name"},
		{"unknown team", `"name": "plan", "team": "ops"`, `"name": "plan", "team": "oops"`, jsonc.CodeUnknownTeam, 9, "$.services[3].team"},
		{"unknown class", `"gang"`, `"gangs"`, jsonc.CodeBadValue, 10, "$.services[4].class"},
		{"unknown field", `"deadline": "8h"`, `"deadline": "8h", "dead_line": 1`, jsonc.CodeUnknownField, 9, "$.services[3].dead_line"},
		{"deadline without unit", `"deadline": "8h"`, `"deadline": 8`, jsonc.CodeWrongType, 9, "$.services[3].deadline"},
		{"negative deadline", `"deadline": "8h"`, `"deadline": "-8h"`, jsonc.CodeOutOfRange, 9, "$.services[3].deadline"},
		{"interactive deadline too long", `"3s"`, `"1h"`, jsonc.CodeOutOfRange, 8, "$.services[2].deadline"},
		{"missing deadline", `"deadline": "1h", `, ``, jsonc.CodeMissing, 10, "$.services[4].deadline"},
		{"missing instances", `"instances": 3, `, ``, jsonc.CodeMissing, 6, "$.services[0].instances"},
		{"zero instances", `"instances": 3`, `"instances": 0`, jsonc.CodeOutOfRange, 6, "$.services[0].instances"},
		{"singleton batch", `"deadline": "8h"`, `"deadline": "8h", "singleton": true`, jsonc.CodeNotApplicable, 9, "$.services[3].singleton"},
		{"service with deadline", `"instances": 3`, `"instances": 3, "deadline": "1s"`, jsonc.CodeNotApplicable, 6, "$.services[0].deadline"},
		{"singleton with two instances", `"instances": 1, `, `"instances": 2, `, jsonc.CodeOutOfRange, 7, "$.services[1].instances"},
		{"singleton in all data centres", `"data_centres": ["voru"], `, ``, jsonc.CodeOutOfRange, 7, "$.services[1].data_centres"},
		{"unknown data centre", `["voru"]`, `["vorru"]`, jsonc.CodeUnknownDataCentre, 7, "$.services[1].data_centres[0]"},
		{"missing idempotent", `"idempotent": false, `, ``, jsonc.CodeMissing, 8, "$.services[2].idempotent"},
		{"max_attempts of non-idempotent work", `"idempotent": false`, `"idempotent": false, "max_attempts": 2`, jsonc.CodeNotApplicable, 8, "$.services[2].max_attempts"},
		{"too many attempts", `"max_attempts": 4`, `"max_attempts": 400`, jsonc.CodeOutOfRange, 9, "$.services[3].max_attempts"},
		{"objective of one", `0.999`, `1`, jsonc.CodeOutOfRange, 8, "$.services[2].service_level.objective"},
		{"window too short", `"720h"`, `"1h"`, jsonc.CodeOutOfRange, 8, "$.services[2].service_level.window"},
		{"dependency on unknown service", `"depends_on": ["store"], "on`, `"depends_on": ["stor"], "on`, jsonc.CodeUnknownService, 8, "$.services[2].depends_on[0]"},
		{"dependency on batch service", `"depends_on": ["store"], "on`, `"depends_on": ["plan"], "on`, jsonc.CodeBadDependency, 8, "$.services[2].depends_on[0]"},
		{"duplicate dependency", `"depends_on": ["store"], "on`, `"depends_on": ["store", "store"], "on`, jsonc.CodeDuplicate, 8, "$.services[2].depends_on[1]"},
		{"dependency on itself", `"instances": 3`, `"instances": 3, "depends_on": ["store"]`, jsonc.CodeDependencyCycle, 6, "$.services[0].depends_on[0]"},
		{"dependency cycle of two services", `"instances": 3`, `"instances": 3, "depends_on": ["clock"]`, jsonc.CodeDependencyCycle, 7, "$.services[1].depends_on[0]"},
		{"unknown dependency policy", `"degrade"`, `"panic"`, jsonc.CodeBadValue, 8, "$.services[2].on_dependency_down"},
		{"demand above every worker shape", `"milli_cpu": 2000`, `"milli_cpu": 20000`, jsonc.CodeNeverFits, 9, "$.services[3].resources"},
		{"accelerator that no worker shape has", `"milli_cpu": 2000`, `"accelerators": 1, "milli_cpu": 2000`, jsonc.CodeNeverFits, 9, "$.services[3].resources"},
		{"instances above the quota", `"instances": 3`, `"instances": 129`, jsonc.CodeOverQuota, 6, "$.services[0].resources"},
		{"missing memory", `, "memory_mb": 2048`, ``, jsonc.CodeMissing, 9, "$.services[3].resources.memory_mb"},
		{"zero slots", `"slots": 2}`, `"slots": 0}`, jsonc.CodeOutOfRange, 10, "$.services[4].resources.slots"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Count(valid, tc.old) >= 1, true)
			text, err := Parse([]byte(strings.Replace(valid, tc.old, tc.new, 1)))
			is.True(text == nil)
			var errs *Errors
			is.True(errors.As(err, &errs))
			is.Equal(len(errs.List), 1)
			is.Equal(errs.List[0].Code, tc.code)
			is.Equal(errs.List[0].Line, tc.line)
			is.Equal(errs.List[0].Path, tc.path)
		})
	}
}

// Guards against a parser that reports only the first error.
func TestParseReportsAllErrors(t *testing.T) {
	is := is.New(t)
	doc := strings.NewReplacer(`"shop"`, `5`, `"3s"`, `"3 s"`, `"gang"`, `"x"`, `"max_attempts": 4`, `"max_attempts": 0`).Replace(valid)
	_, err := Parse([]byte(doc))
	var errs *Errors
	is.True(errors.As(err, &errs))
	is.Equal(len(errs.List), 4)
	is.True(errs.Has(jsonc.CodeWrongType, "$.name"))
	is.True(errs.Has(jsonc.CodeBadDuration, "$.services[2].deadline"))
	is.True(errs.Has(jsonc.CodeOutOfRange, "$.services[3].max_attempts"))
	is.True(errs.Has(jsonc.CodeBadValue, "$.services[4].class"))
}
