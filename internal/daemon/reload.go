package daemon

import (
	"context"
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
)

// reloadOnSignal reloads the configuration on each reload signal until ctx ends.
func (p *process) reloadOnSignal(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reload:
		}
		if err := p.reloadOnce(ctx); err != nil {
			p.log.WithError(err).Error("reload.failed")
		}
	}
}

// reloadOnce loads the configuration and applies it as a whole. On an error the old configuration remains in use.
func (p *process) reloadOnce(ctx context.Context) error {
	next, err := p.load()
	if err != nil {
		return err
	}
	number, err := p.server.reload(next)
	if err != nil {
		return err
	}
	if keys := p.config.RestartOnlyChanges(next.Process); len(keys) > 0 {
		p.log.WithField("keys", summarizeKeys(keys)).Warn("reload.restart_required")
	}
	p.latest.Store(&next)
	p.server.link.SetAddr(next.Engine)
	p.server.reporter.SetAddr(ctx, next.Members)
	log := p.log.WithFields(logrus.Fields{"engine": next.Engine, "members": next.Members})
	if next.Operator != nil {
		log = log.WithFields(recordFields(next.Operator)).WithField("number", number)
	}
	log.Info("reload.completed")
	return nil
}

// summarizeKeys returns the first maxLoggedKeys keys and the number of the others.
func summarizeKeys(keys []string) string {
	if len(keys) > maxLoggedKeys {
		return fmt.Sprintf("%s and %d more", strings.Join(keys[:maxLoggedKeys], ", "), len(keys)-maxLoggedKeys)
	}
	return strings.Join(keys, ", ")
}
