package docs

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/jayloom/jayloom/base/settings"
)

const (
	repositoryRoot = "../../.."
	operationsPage = repositoryRoot + "/docs/OPERATIONS.md"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a metric that is not documented, and against a documented metric that no
// process exports.
func TestOperationsPageListsTheMetrics(t *testing.T) {
	page := readFile(t, operationsPage)
	metricName := regexp.MustCompile(`jayloom_(?:proxy|control|replica)_[a-z_]+`)
	quotedMetricName := regexp.MustCompile("[\"`](jayloom_(?:proxy|control|replica)_[a-z_]+)")
	inCode := map[string]bool{}
	for _, module := range []string{"control", "proxy"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, module), func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for _, match := range quotedMetricName.FindAllStringSubmatch(readFile(t, path), -1) {
				inCode[match[1]] = true
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	onPage := map[string]bool{}
	for _, metric := range metricName.FindAllString(page, -1) {
		onPage[metric] = true
	}
	for metric := range inCode {
		if !onPage[metric] {
			t.Errorf("metric %s is not on %s", metric, operationsPage)
		}
	}
	for metric := range onPage {
		if !inCode[metric] {
			t.Errorf("metric %s on %s is not in the code", metric, operationsPage)
		}
	}
}

// Guards against a setting that is not documented.
func TestOperationsPageListsTheSettings(t *testing.T) {
	page := readFile(t, operationsPage)
	for _, field := range settingNames(reflect.TypeFor[settings.Settings]()) {
		if !strings.Contains(page, "`"+field+"`") && !strings.Contains(page, "."+field+"`") {
			t.Errorf("setting %s is not on %s", field, operationsPage)
		}
	}
}

// settingNames returns the JSON names of all scalar settings, without those of their
// sections.
func settingNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Type.Kind() == reflect.Struct {
			names = append(names, settingNames(field.Type)...)
			continue
		}
		names = append(names, field.Tag.Get("json"))
	}
	return names
}
