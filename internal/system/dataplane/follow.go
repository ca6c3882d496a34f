package dataplane

import (
	"context"

	"gaugeslip/coord/gossip"
	"gaugeslip/internal/system/internalapi"
)

// followDirectory applies and publishes changes of the directory until the context ends.
func (p *Process) followDirectory(ctx context.Context) {
	head, version, epoch := "", uint64(0), uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.directory.Changes():
		}
		if config := p.directory.Config(); config != nil && config.Version != version {
			version = config.Version
			p.applyConfiguration(config)
		}
		current := p.directory.View()
		if !current.Known() || (head != "" && current.Epoch == epoch) {
			continue
		}
		epoch = current.Epoch
		if address := current.Head().Address; address != head {
			p.logger.Info("head changed", "head", address, "epoch", epoch)
			head = address
		}
		p.publishView()
	}
}

// applyConfiguration applies a configuration's limits and publishes it by gossip.
func (p *Process) applyConfiguration(config *Configuration) {
	p.checkConfiguration(config)
	parsed := config.Router.Config()
	p.logger.Info("configuration taken", "version", config.Version, "routes", len(parsed.Routes))
	p.frontend.Serve(parsed.Limits)
	p.publish(internalapi.KeyConfig, config.Version, config.Body)
}

func (p *Process) publishView() {
	current := p.directory.View()
	data, err := internalapi.EncodeView(*current)
	if err != nil {
		p.logUnusable(err)
		return
	}
	p.publish(internalapi.KeyView, internalapi.ViewVersion(*current), data)
}

func (p *Process) publish(key gossip.Key, major uint64, data []byte) {
	err := p.node.Set(gossip.Value{Key: key, Version: gossip.Version{Major: major}, Data: data})
	if err != nil {
		p.logUnusable(err)
	}
}
