package standin

import (
	"context"

	"github.com/jayloom/jayloom/standin/sql"
)

// Exec runs statements as one implicit transaction, as a simple query does.
func (s *Server) Exec(ctx context.Context, text string) error {
	statements, err := sql.Parse(text)
	if err != nil {
		return err
	}
	session, err := s.newSession(0, s.config.User, s.config.User, nil)
	if err != nil {
		return err
	}
	defer session.Close()
	for _, p := range statements {
		if _, err := session.Execute(ctx, p, nil); err != nil {
			return err
		}
	}
	session.EndImplicit()
	return nil
}
