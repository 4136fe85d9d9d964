package soak

import (
	"fmt"

	"github.com/jayloom/jayloom/platform/standin"
)

// Words with which nodes and servers refuse statements that they cannot read or do not know.
const (
	refusedMalformed = standin.RefusedMalformed
	refusedTooLarge  = standin.RefusedTooLarge
	refusedUnknown   = standin.RefusedUnknownName
)

// checkPrepared finds statements that ran with another access or shape than their session had
// prepared under the executed name, and executions of names that it had not prepared.
func checkPrepared(x *index) (found []string) {
	for _, a := range x.attempts {
		for _, s := range a.statements {
			for _, r := range x.executionsByID[s.id] {
				if r.Prepared != s.prepared {
					found = append(found, fmt.Sprintf("pinned: %s (%q) was prepared as %s and ran as %s (%q at %s)",
						s.id, s.text, describePrepared(s.prepared), describePrepared(r.Prepared), r.Text, r.Server))
				}
			}
		}
	}
	return found
}

func describePrepared(p standin.Prepared) string {
	if p == (standin.Prepared{}) {
		return "nothing"
	}
	return fmt.Sprintf("%s %q", p.Access, p.Shape)
}

// checkSetups finds statements that a node or a server refused as unknown although their caller
// had prepared them, or as malformed although callers send none that are.
func checkSetups(x *index) (found []string) {
	for _, a := range x.attempts {
		for _, s := range a.statements {
			if s.answer.Refusal == refusedUnknown && s.prepared != (standin.Prepared{}) {
				found = append(found, fmt.Sprintf("pinned: %s (%q) was refused as unknown at %s, its caller had prepared %s",
					s.id, s.text, a.node, describePrepared(s.prepared)))
			}
		}
		// In a failed transaction, every statement is refused as malformed.
		if s := a.statements[0]; isMalformed(s.answer.Refusal) {
			found = append(found, fmt.Sprintf("setup: %s (%q) was refused with %s at %s", s.id, s.text, s.answer.Refusal, a.node))
		}
	}
	for _, s := range x.setups {
		// Other refusals, of a node that stops for example, are allowed.
		if isMalformed(s.answer.Refusal) || s.answer.Refusal == refusedUnknown {
			found = append(found, fmt.Sprintf("setup: %s (%q) was refused with %s", s.id, s.text, s.answer.Refusal))
		}
	}
	return append(found, refusedSetups(x)...)
}

// refusedSetups finds what a server refused as unknown or malformed, unless its caller had
// prepared nothing under the name.
func refusedSetups(x *index) (found []string) {
	for _, r := range x.refusals {
		if isMalformed(r.Word) || r.Word == refusedUnknown && !x.executesUnknownName(r.ID) {
			found = append(found, fmt.Sprintf("setup: %s refused %q (%s, sent as %q) with %s", r.Server, r.Text, r.ID, x.textByID[r.ID], r.Word))
		}
	}
	return found
}

// executesUnknownName reports whether a caller sent the statement and had prepared nothing under its
// name.
func (x *index) executesUnknownName(id string) bool {
	a := x.attemptByID[id]
	if a == nil {
		return false
	}
	for _, s := range a.statements {
		if s.id == id {
			return s.prepared == standin.Prepared{}
		}
	}
	return false
}

func isMalformed(word string) bool {
	return word == refusedMalformed || word == refusedTooLarge
}
