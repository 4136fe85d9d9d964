package engine

import (
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/stop"
)

// BeginStop makes the engine refuse what the plan of a stop does not begin any more.
func (e *Engine) BeginStop(p stop.Plan) {
	e.stop.Store(&p)
}

// refuseBeginning returns a refusal if the node is stopping and begins no sessions, transactions
// or single statements any more.
func (e *Engine) refuseBeginning(now time.Duration) *Refusal {
	p := e.stop.Load()
	if p == nil || p.MayBegin(now) {
		return nil
	}
	return &Refusal{Code: rescode.ProxyDraining, Reason: reasonStopping}
}

// refuseContinuing returns a refusal if the node is stopping and a statement of an open
// transaction might not be answered in time. Nothing of the transaction is kept.
func (e *Engine) refuseContinuing(now, timeout time.Duration) *Refusal {
	p := e.stop.Load()
	if p == nil || p.MayContinue(now, timeout) {
		return nil
	}
	return &Refusal{Code: rescode.TransactionAborted, Reason: reasonStopping}
}

// refuseRunning returns a refusal if the node is stopping and gives up its statements, so that
// none is sent to an upstream any more.
func (e *Engine) refuseRunning(now time.Duration) *Refusal {
	p := e.stop.Load()
	if p == nil || p.MayRun(now) {
		return nil
	}
	return stoppedWaiting()
}

// stoppedWaiting is the refusal of a statement that was still waiting in the node when the stop
// gave it up.
func stoppedWaiting() *Refusal {
	return &Refusal{Code: rescode.ProxyDraining, Reason: reasonStopping}
}
