/**
 * The HTTP server for health checks and metrics, the same in every process.
 */
package org.wisteriapost.protocol.admin;
