package rescode

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// documentation is the page that shows the table to callers and operators.
const documentation = "../../docs/RESULT-CODES.md"

// render returns the table as the page holds it.
func render() string {
	var b strings.Builder
	b.WriteString("| Code | Name | SQLSTATE | Request | Resend may succeed | Meaning |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, info := range All() {
		state := info.SQLState
		if state == "" {
			state = "–"
		}
		retry := "no"
		if info.Retryable {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s | %s |\n",
			uint32(info.Code), info.Name, state, info.Execution, retry, info.Meaning)
	}
	return b.String()
}

// Guards against a page that differs from the codes that the processes send.
func TestDocumentationHoldsTheTable(t *testing.T) {
	page, err := os.ReadFile(documentation)
	if err != nil {
		t.Fatal(err)
	}
	start := bytes.Index(page, []byte("| Code |"))
	if start < 0 {
		t.Fatalf("%s holds no table; it should be:\n%s", documentation, render())
	}
	if diff := cmp.Diff(render(), string(page[start:])); diff != "" {
		t.Errorf("%s differs from the code table (-code +page):\n%s", documentation, diff)
	}
}

// Guards against two meanings of one number or one metric label.
func TestCodesAndNamesAreUnique(t *testing.T) {
	codes := map[Code]bool{}
	names := map[string]bool{}
	last := Code(0)
	for i, info := range All() {
		if codes[info.Code] || names[info.Name] {
			t.Errorf("code %d %q is defined twice", info.Code, info.Name)
		}
		if i > 0 && info.Code <= last {
			t.Errorf("code %d stands behind %d", info.Code, last)
		}
		codes[info.Code] = true
		names[info.Name] = true
		last = info.Code
	}
}

// Guards against a caller-visible code that drivers cannot read.
func TestSQLStatesHaveFiveCharacters(t *testing.T) {
	for _, info := range All() {
		caller := info.Code >= 1000 && info.Code < 7000
		if caller && len(info.SQLState) != 5 {
			t.Errorf("code %d has SQLSTATE %q", info.Code, info.SQLState)
		}
	}
}
