package trestleline.core;

import trestleline.Front;

/**
 * One set-up sent to one host. {@code id} is unique over gateways and their restarts and names the attempt on the
 * wire; {@code rung} is the rung to start at; {@code expireAt} the clock reading (ms) at which it is abandoned.
 */
public record Attempt(String id, Front.Ask ask, Front.Terms terms, int shot, String host, int rung, double expireAt) { }
