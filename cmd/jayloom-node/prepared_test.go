package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/jayloom/jayloom/platform/standin"
)

// preparedTexts are the fields of PREPARE behind the name, as a message may carry them.
var preparedTexts = []string{
	"READ q2c", "WRITE q2c", "READ sg", "READ sg READ q2 READ sg", "READ q2 READ sg", "WRITE sg READ q2 WRITE sg", "READ  sg", "READ sg ",
	"READ sg\tREAD q2", "READ a\nQUERY x WRITE b y", "READ r_q2", "READ p1 READ sg", "WRITE q2c READ", "READ \r", "READ é",
}

// preparedStatements checks what servers execute against what callers prepared and sent.
type preparedStatements struct {
	mu sync.Mutex
	// sent holds the statements by their identities.
	sent     map[string]sentExecute
	executed int
	faults   []string
}

// sentExecute is an EXECUTE of a caller: what it prepared under the name, and what follows the name.
type sentExecute struct {
	prepared, arguments string
}

func (p *preparedStatements) recordSent(id string, e sentExecute) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[id] = e
}

// recordExecution implements the function of standin.Group.OnExecution.
func (p *preparedStatements) recordExecution(e standin.Execution) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, ok := p.sent[e.ID]
	if !ok {
		p.faults = append(p.faults, fmt.Sprintf("nobody sent %s %q", e.ID, e.Text))
		return
	}
	p.executed++
	fields := strings.SplitN(e.Text, " ", 3)
	if len(fields) != 3 || fields[0] != "EXECUTE" || fields[2] != sent.arguments {
		p.faults = append(p.faults, fmt.Sprintf("sent EXECUTE with %q, ran %q", sent.arguments, e.Text))
	}
	if ran := e.Prepared.Access + " " + e.Prepared.Shape; ran != sent.prepared {
		p.faults = append(p.faults, fmt.Sprintf("prepared %q, ran %q", sent.prepared, ran))
	}
}

// run prepares each of preparedTexts in a session, in an order of its own, and executes it.
func (p *preparedStatements) run(t *testing.T, session *standin.Caller, caller int) {
	for i := range preparedTexts {
		text := preparedTexts[(i*7+caller)%len(preparedTexts)]
		if a, err := session.Query("PREPARE s1 " + text); err != nil || a.Refusal != "" {
			t.Errorf("PREPARE %q: %s, %v", text, a.Refusal, err)
			return
		}
		id, arguments := fmt.Sprintf("c%d-%d", caller, i), fmt.Sprintf("lot%d READ x", i)
		p.recordSent(id, sentExecute{text, arguments})
		if a, err := session.QueryWithID(id, "EXECUTE s1 "+arguments); err != nil || a.Refusal != "" {
			t.Errorf("EXECUTE of %q: %s, %v", text, a.Refusal, err)
		}
	}
}

// succeedsOften reports whether a node serves a number of writes in a row.
func (d *deployment) succeedsOften(n *runningNode, count int) bool {
	session, _ := d.connect(n, "lots", "secret")
	if session == nil {
		return false
	}
	defer session.Close()
	for range count {
		if !succeeds(session, "WRITE a x") {
			return false
		}
	}
	return true
}

// Guards against a prepared statement that runs the shape of another one, and against texts that nobody
// sent: callers share upstream connections, and a shape may hold blanks and words of the protocol.
func TestPreparedStatementRunsItsOwnShape(t *testing.T) {
	d := startDeployment(t)
	c := configuration(1, "secret")
	// A node's part of this rate bears the whole test.
	c.Teams[0].Rate, c.Teams[0].Burst = 100_000, 100_000
	d.put(c)
	d.waitUntil("the node's part of the rate", func() bool { return d.succeedsOften(d.nodes[0], 20) })
	p := &preparedStatements{sent: map[string]sentExecute{}}
	d.group.OnExecution(p.recordExecution)
	const callers = 6
	for caller := range callers {
		session, refusal := d.connect(d.nodes[0], "lots", "secret")
		if session == nil {
			t.Fatal(refusal)
		}
		p.run(t, session, caller)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if want := callers * len(preparedTexts); p.executed != want {
		t.Errorf("servers executed %d statements, want %d", p.executed, want)
	}
	for _, fault := range p.faults {
		t.Error(fault)
	}
}
