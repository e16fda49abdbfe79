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

// Each sample service text parses and contains every class of service.
func TestSampleServiceTexts(t *testing.T) {
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

// The sample settings load, list each instance in its data centre's seeds, and share no name
// or address.
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
