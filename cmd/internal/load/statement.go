package load

import (
	"fmt"
	"strconv"
)

// routeTag returns the sqlcommenter comment that names the route, the slot and
// optionally the identity of a request.
func routeTag(route string, slot int, request string) string {
	text := " /*route='" + route + "',slot='" + strconv.Itoa(slot) + "'"
	if request != "" {
		text += ",request='" + request + "'"
	}
	return text + "*/"
}

func (p Profile) lookupStatement(code string, slot int) string {
	return "SELECT code, label FROM " + p.Lookup + " WHERE code = '" + code + "'" + routeTag(p.Lookup, slot, "")
}

func (p Profile) ownReadStatement(slot int) string {
	return "SELECT request FROM " + p.Ledger + " WHERE id = $1" + routeTag(p.readRoute(), slot, "")
}

func (p Profile) updateClockStatement(value int64, slot int) string {
	return fmt.Sprintf("UPDATE %s SET label = '%d' WHERE code = '%s' "+
		"RETURNING label, (SELECT timeline_id FROM pg_control_checkpoint())",
		p.Lookup, value, clockCode) + routeTag(p.writeRoute(), slot, "")
}

func (p Profile) readClockStatement(slot int) string {
	return "SELECT label, (SELECT timeline_id FROM pg_control_checkpoint()) FROM " + p.Lookup +
		" WHERE code = '" + clockCode + "'" + routeTag(p.Lookup, slot, "")
}

// insertStatement returns an INSERT that also returns the timeline, so that the client
// knows which primary acknowledged the row.
func (p Profile) insertStatement(w *writeIntent) string {
	return fmt.Sprintf("INSERT INTO %s (request, team, session, n, timeline) VALUES ('%s', '%s', '%s', %d, "+
		"(SELECT timeline_id FROM pg_control_checkpoint())) RETURNING id, timeline",
		p.Ledger, w.request, w.team, w.session, w.sequence)
}

func (p Profile) lineStatement(w *writeIntent) string {
	return fmt.Sprintf("INSERT INTO %s (request, team) VALUES ('%s', '%s')", p.Lines, w.request, w.team)
}
