/** Client for the platform's control feed: the list of media hosts as numbered events (docs/platform.md). */
package trestleline.feed;
