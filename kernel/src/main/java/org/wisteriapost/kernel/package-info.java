/**
 * What every role is built from: codes, findings, settings, the event loop and plug-ins.
 * Nothing here knows about requests, bundles or weights.
 */
package org.wisteriapost.kernel;
