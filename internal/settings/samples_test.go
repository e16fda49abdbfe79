package settings

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
)

const samples = "../../samples"

// Guards against sample texts that no longer parse or lack a class of work.
func TestSampleTexts(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob(filepath.Join(samples, "*.text.jsonc"))
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		text, err := servicetext.Parse(data)
		is.NoErr(err)
		for _, class := range []model.Class{model.ClassService, model.ClassBatch, model.ClassGang, model.ClassInteractive} {
			is.True(slices.ContainsFunc(text.Services, func(s model.Service) bool { return s.Class == class }))
		}
	}
}

// Guards against sample settings that no longer parse, share an address, or
// leave an instance out of the seeds.
func TestSampleSettings(t *testing.T) {
	for dir, instances := range map[string]int{"one-dc": 3, "two-dc": 6} {
		is := is.New(t)
		files, err := filepath.Glob(filepath.Join(samples, dir, "*.settings.jsonc"))
		is.NoErr(err)
		is.Equal(len(files), instances)
		seen := map[string]bool{}
		for _, file := range files {
			s, err := Load(file)
			is.NoErr(err)
			is.True(slices.Contains(s.Seeds[s.DataCentre], s.PeerListen))
			for _, id := range []string{s.Name, s.HTTPListen, s.PeerListen} {
				is.True(!seen[id])
				seen[id] = true
			}
		}
	}
}
