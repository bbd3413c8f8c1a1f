package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/evanphx/json-patch/v5"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/sirupsen/logrus"
	_ "github.com/tailscale/hujson"
	_ "github.com/thejerf/suture/v4"
	_ "github.com/twitchtv/twirp"
	_ "github.com/xdg-go/scram"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
