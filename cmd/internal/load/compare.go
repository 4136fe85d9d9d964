package load

import (
	"fmt"
	"math"
	"strconv"
)

// Bound limits one number of a report, named by its path as in "worst.p99_ms".
type Bound struct {
	Path string   `json:"path"`
	Min  *float64 `json:"min,omitempty"`
	Max  *float64 `json:"max,omitempty"`
	// MaxIncrease and MaxDecrease are relative to the old report: 0.1 means 10 %.
	// Slack is an additional absolute tolerance in the unit of the number.
	MaxIncrease *float64 `json:"max_increase,omitempty"`
	MaxDecrease *float64 `json:"max_decrease,omitempty"`
	Slack       float64  `json:"slack,omitempty"`
}

// BoundResult is the result of checking one bound.
type BoundResult struct {
	Path      string
	Old, New  float64
	Violation string // empty if the bound holds
}

// CompareFiles checks the bounds in the file boundsPath against two reports.
func CompareFiles(oldPath, newPath, boundsPath string) ([]BoundResult, error) {
	var before, after any
	var bounds []Bound
	for _, file := range []struct {
		path   string
		target any
	}{{oldPath, &before}, {newPath, &after}, {boundsPath, &bounds}} {
		if err := readJSON(file.path, file.target); err != nil {
			return nil, err
		}
	}
	return compare(numbersByPath(before), numbersByPath(after), bounds), nil
}

// numbersByPath returns the numbers of a JSON document by path. Elements of a list
// are named by their index.
func numbersByPath(document any) map[string]float64 {
	all := map[string]float64{}
	collectNumbers("", document, all)
	return all
}

func collectNumbers(path string, v any, all map[string]float64) {
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch typed := v.(type) {
	case float64:
		all[path] = typed
	case map[string]any:
		for name, child := range typed {
			collectNumbers(join(name), child, all)
		}
	case []any:
		for i, child := range typed {
			collectNumbers(join(strconv.Itoa(i)), child, all)
		}
	}
}

func compare(before, after map[string]float64, bounds []Bound) []BoundResult {
	var findings []BoundResult
	for _, b := range bounds {
		f := BoundResult{Path: b.Path, Old: math.NaN(), New: math.NaN()}
		if v, ok := before[b.Path]; ok {
			f.Old = v
		}
		if v, ok := after[b.Path]; ok {
			f.New = v
		}
		f.Violation = b.violation(f.Old, f.New)
		findings = append(findings, f)
	}
	return findings
}

func (b Bound) violation(before, after float64) string {
	relative := b.MaxIncrease != nil || b.MaxDecrease != nil
	switch {
	case math.IsNaN(after):
		return "missing from the new report"
	case b.Min != nil && after < *b.Min:
		return fmt.Sprintf("is below %g", *b.Min)
	case b.Max != nil && after > *b.Max:
		return fmt.Sprintf("is above %g", *b.Max)
	case relative && math.IsNaN(before):
		return "missing from the old report"
	case b.MaxIncrease != nil && after > before*(1+*b.MaxIncrease)+b.Slack:
		return fmt.Sprintf("grew from %g by more than %g %%", before, 100**b.MaxIncrease)
	case b.MaxDecrease != nil && after < before*(1-*b.MaxDecrease)-b.Slack:
		return fmt.Sprintf("fell from %g by more than %g %%", before, 100**b.MaxDecrease)
	}
	return ""
}
